#include "base/types/log_entry.h"

namespace oriole {

log_entry& log_entry::add(std::string_view key, std::string_view value) {
    m_text.append(1, ' ').append(key).append(1, '=');
    const bool needs_no_quotes =
        !value.empty() && value.find_first_of(" \"\\=\r\n\t") == value.npos;
    if (needs_no_quotes) {
        m_text.append(value);
        return *this;
    }
    m_text.append(1, '"');
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            m_text.append(1, '\\');
        }
        const bool control = static_cast<unsigned char>(character) < ' ';
        m_text.append(1, control ? ' ' : character);
    }
    m_text.append(1, '"');
    return *this;
}

} // namespace oriole

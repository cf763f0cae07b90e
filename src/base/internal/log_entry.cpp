#include "base/types/log_entry.h"

#include <algorithm>

namespace oriole {
namespace {

constexpr std::string_view cut_mark = "...";
constexpr std::string_view hexadecimal_digits = "0123456789abcdef";
constexpr unsigned bits_per_digit = 4;
constexpr unsigned digit_mask = 0x0f;

bool is_printable(char character) {
    return character >= ' ' && character < '\x7f';
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.size() > log_entry::max_value_bytes ||
           value.find_first_of(" \"\\=") != value.npos ||
           !std::all_of(value.begin(), value.end(), is_printable);
}

void append_escaped(std::string& out, char character) {
    if (!is_printable(character)) {
        const auto byte = static_cast<unsigned char>(character);
        out.append("\\x")
            .append(1, hexadecimal_digits[byte >> bits_per_digit])
            .append(1, hexadecimal_digits[byte & digit_mask]);
        return;
    }
    if (character == '"' || character == '\\') {
        out.append(1, '\\');
    }
    out.append(1, character);
}

} // namespace

log_entry& log_entry::add(std::string_view key, std::string_view value) {
    m_text.append(1, ' ').append(key).append(1, '=');
    if (!needs_quotes(value)) {
        m_text.append(value);
        return *this;
    }
    m_text.append(1, '"');
    for (const char character : value.substr(0, max_value_bytes)) {
        append_escaped(m_text, character);
    }
    m_text.append(value.size() > max_value_bytes ? cut_mark : std::string_view()).append(1, '"');
    return *this;
}

} // namespace oriole

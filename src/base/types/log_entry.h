#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <type_traits>

namespace oriole {

/// One structured log line: an event name and fields in the form `key=value`. Values that are empty
/// or contain blanks, quotes, backslashes, equals signs or bytes other than printable ASCII are
/// quoted; in quotes, a backslash stands before a quote or backslash, and `\xNN` for a byte that is
/// not printable. Event names and keys are the program's own. Not thread-safe.
class log_entry {
public:
    /// A longer value is cut there and ends with `...`.
    static constexpr std::size_t max_value_bytes = 1024;

    explicit log_entry(std::string_view event) { m_text.append("event=").append(event); }

    log_entry& add(std::string_view key, std::string_view value);

    template <class Number>

    requires std::is_arithmetic_v<Number> log_entry& add(std::string_view key, Number value) {
        return add(key, std::string_view(std::to_string(value)));
    }

    [[nodiscard]] const std::string& text() const noexcept { return m_text; }

    friend bool operator==(const log_entry&, const log_entry&) = default;

private:
    std::string m_text;
};

} // namespace oriole

#pragma once

#include <algorithm>
#include <string_view>

namespace oriole {

/// Fields of the text messages that callers and backend servers exchange: CR LF ends a message,
/// and a blank ends each field but the last. The functions are thread-safe.

/// Whether a message can carry the text as its last field.
[[nodiscard]] inline bool is_message_text(std::string_view text) {
    return text.find("\r\n") == std::string_view::npos;
}

/// Whether a message can carry the text as a field that others may follow.
[[nodiscard]] inline bool is_message_word(std::string_view text) {
    return !text.empty() && text.find(' ') == std::string_view::npos && is_message_text(text);
}

/// Whether the text can name an object in messages: not empty, without blanks and control
/// characters.
[[nodiscard]] inline bool is_object_name(std::string_view text) {
    constexpr unsigned char delete_character = 0x7f;
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char next) {
        const auto byte = static_cast<unsigned char>(next);
        return byte > ' ' && byte != delete_character;
    });
}

} // namespace oriole

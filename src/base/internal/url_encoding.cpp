#include "base/url_encoding.h"

namespace oriole {
namespace {

constexpr std::string_view hexadecimal_digits = "0123456789ABCDEF";
constexpr std::string_view unreserved_marks = "-._~";
constexpr unsigned bits_per_digit = 4;
constexpr unsigned digit_mask = 0x0f;

bool is_unreserved(char character) {
    const bool letter =
        (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool digit = character >= '0' && character <= '9';
    return letter || digit || unreserved_marks.find(character) != std::string_view::npos;
}

std::string encode(std::string_view text, std::string_view unchanged_marks) {
    std::string out;
    for (const char character : text) {
        if (is_unreserved(character) || unchanged_marks.find(character) != std::string_view::npos) {
            out.append(1, character);
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        out.append(1, '%')
            .append(1, hexadecimal_digits[byte >> bits_per_digit])
            .append(1, hexadecimal_digits[byte & digit_mask]);
    }
    return out;
}

} // namespace

std::string encode_url_part(std::string_view text) {
    return encode(text, "");
}

std::string encode_url_path(std::string_view text) {
    return encode(text, "/");
}

} // namespace oriole

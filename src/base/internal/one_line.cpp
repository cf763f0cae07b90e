#include "base/one_line.h"

namespace oriole {
namespace {

constexpr std::string_view hexadecimal_digits = "0123456789abcdef";
constexpr unsigned bits_per_digit = 4;
constexpr unsigned digit_mask = 0x0f;
constexpr unsigned char delete_character = 0x7f;

} // namespace

std::string one_line(std::string_view text) {
    std::string out;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte >= ' ' && byte != delete_character) {
            out.append(1, character);
            continue;
        }
        out.append("\\x")
            .append(1, hexadecimal_digits[byte >> bits_per_digit])
            .append(1, hexadecimal_digits[byte & digit_mask]);
    }
    return out;
}

} // namespace oriole

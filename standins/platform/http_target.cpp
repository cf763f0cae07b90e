#include "platform/http_target.h"

#include <charconv>

namespace oriole::standins {
namespace {

constexpr int hexadecimal = 16;

std::string percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, hexadecimal).ptr ==
                text.data() + i + 3) {
            decoded += static_cast<char>(value);
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

} // namespace

std::uint64_t http_target::number(const std::string& name, std::uint64_t fallback) const {
    const auto found = query.find(name);
    if (found == query.end()) {
        return fallback;
    }
    const std::string& text = found->second;
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? value : fallback;
}

http_target parse_http_target(std::string_view text) {
    const auto question_mark = text.find('?');
    http_target target{percent_decode(text.substr(0, question_mark)), {}};
    std::string_view rest =
        question_mark == std::string_view::npos ? "" : text.substr(question_mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        const std::string_view value =
            equals == std::string_view::npos ? "" : pair.substr(equals + 1);
        target.query[percent_decode(pair.substr(0, equals))] = percent_decode(value);
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    }
    return target;
}

} // namespace oriole::standins

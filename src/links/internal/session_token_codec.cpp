#include "links/session_token_codec.h"

#include <charconv>
#include <cstdint>

namespace oriole::links {
namespace {

constexpr std::string_view version_prefix = "1;";

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return value;
}

struct token_item {
    database_name database;
    machines::log_position position;
};

std::optional<token_item> parse_item(std::string_view text) {
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto dot = text.find('.', colon);
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto term = parse_number(text.substr(colon + 1, dot - colon - 1));
    const auto offset = parse_number(text.substr(dot + 1));
    if (!term || !offset) {
        return std::nullopt;
    }
    return token_item{database_name{std::string(text.substr(0, colon))}, {*term, *offset}};
}

} // namespace

std::string encode_session_token(const contracts::session_token& token) {
    std::string text(version_prefix);
    bool first = true;
    for (const auto& [database, position] : token.positions()) {
        if (!first) {
            text += ',';
        }
        first = false;
        text += database.str() + ':' + std::to_string(position.term()) + '.' +
                std::to_string(position.offset());
    }
    return text;
}

std::optional<contracts::session_token> decode_session_token(std::string_view text) {
    if (!text.starts_with(version_prefix)) {
        return std::nullopt;
    }
    text.remove_prefix(version_prefix.size());
    std::map<database_name, machines::log_position> positions;
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto item = parse_item(text.substr(0, comma));
        if (!item) {
            return std::nullopt;
        }
        positions[item->database] = item->position;
        if (comma == std::string_view::npos) {
            break;
        }
        text.remove_prefix(comma + 1);
    }
    return contracts::session_token(std::move(positions));
}

} // namespace oriole::links

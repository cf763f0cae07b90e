#include "links/audit_codec.h"

#include <nlohmann/json.hpp>

#include <array>
#include <ctime>

namespace oriole::links {

std::string format_utc_time(std::chrono::system_clock::time_point time) {
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    constexpr std::size_t capacity = 32;
    std::array<char, capacity> text{};
    const auto size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {text.data(), size};
}

std::string encode_audit_entry(const contracts::audit_entry& entry) {
    const nlohmann::json value{{"who", entry.actor()},     {"when", format_utc_time(entry.when())},
                               {"object", entry.object()}, {"from", entry.from()},
                               {"to", entry.to()},         {"generation", entry.generation()},
                               {"reason", entry.reason()}};
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace oriole::links

#include "links/peer_codec.h"

#include "links/internal/instance_json.h"

#include <nlohmann/json.hpp>

namespace oriole::links {
namespace {

using machines::member_state;
using machines::member_update;
using nlohmann::json;

/// Peers send only a few updates per message; a longer list is rejected.
constexpr std::size_t max_updates = 64;

json updates_to_json(const std::vector<member_update>& updates) {
    json list = json::array();
    for (const auto& update : updates) {
        list.push_back({{"who", instance_to_json(update.instance_info)},
                        {"incarnation", update.incarnation},
                        {"state", static_cast<int>(update.state)}});
    }
    return list;
}

std::vector<member_update> updates_from_json(const json& list) {
    if (!list.is_array() || list.size() > max_updates) {
        throw decode_error("member updates are not an array of at most 64 entries");
    }
    std::vector<member_update> updates;
    for (const auto& entry : list) {
        const int state = entry.at("state").get<int>();
        if (state < 0 || state > static_cast<int>(member_state::gone)) {
            throw decode_error("unknown member state " + std::to_string(state));
        }
        updates.push_back({instance_from_json(entry.at("who")),
                           entry.at("incarnation").get<std::uint64_t>(),
                           static_cast<member_state>(state)});
    }
    return updates;
}

json summary_to_json(const config_summary& summary) {
    json value{{"generation", summary.generation}, {"digest", summary.digest}};
    if (summary.age) {
        value["age_ms"] = summary.age->count();
    }
    return value;
}

config_summary summary_from_json(const json& value) {
    config_summary summary{
        value.at("generation").get<std::uint64_t>(), value.at("digest").get<std::string>(), {}};
    if (value.contains("age_ms")) {
        const auto age = value.at("age_ms").get<std::int64_t>();
        // Ages above a year need not be told apart; the bound prevents integer overflow.
        constexpr std::int64_t year_ms = 365LL * 24 * 3600 * 1000;
        if (age < 0 || age > year_ms) {
            throw decode_error("configuration age of " + std::to_string(age) +
                               " ms is negative or above one year");
        }
        summary.age = std::chrono::milliseconds(age);
    }
    return summary;
}

/// Parses `text` and runs `read` on it; turns the JSON library's exceptions into decode_error.
template <class Read>
auto decode(const std::string& text, const Read& read) {
    try {
        return read(json::parse(text));
    } catch (const json::exception& failure) {
        throw decode_error(std::string("invalid peer message: ") + failure.what());
    }
}

} // namespace

std::string encode_peer_message(const config_summary& message) {
    return summary_to_json(message).dump();
}

std::string encode_peer_message(const config_offer& message) {
    return json{{"generation", message.generation},
                {"digest", message.digest},
                {"origin", message.origin.str()},
                {"from", message.from.str()}}
        .dump();
}

std::string encode_peer_message(const config_fetch& message) {
    return json{{"chunks", message.chunks}}.dump();
}

std::string encode_peer_message(const config_fetch_answer& message) {
    return json{{"head", message.head}, {"chunks", message.chunks}}.dump();
}

std::string encode_peer_message(const member_ping& message) {
    return json{{"to", message.to.str()}, {"updates", updates_to_json(message.updates)}}.dump();
}

std::string encode_peer_message(const member_ping_answer& message) {
    return json{{"updates", updates_to_json(message.updates)},
                {"config", summary_to_json(message.config)}}
        .dump();
}

std::string encode_peer_message(const member_ping_via& message) {
    return json{{"target_id", message.target_id.str()},
                {"target", message.target.str()},
                {"updates", updates_to_json(message.updates)}}
        .dump();
}

template <>
config_summary decode_peer_message<config_summary>(const std::string& text) {
    return decode(text, summary_from_json);
}

template <>
config_offer decode_peer_message<config_offer>(const std::string& text) {
    return decode(text, [](const json& value) {
        return config_offer{value.at("generation").get<std::uint64_t>(),
                            value.at("digest").get<std::string>(),
                            instance_id(value.at("origin").get<std::string>()),
                            endpoint_from_text(value.at("from").get<std::string>())};
    });
}

template <>
config_fetch decode_peer_message<config_fetch>(const std::string& text) {
    return decode(text, [](const json& value) {
        return config_fetch{value.at("chunks").get<std::vector<std::string>>()};
    });
}

template <>
config_fetch_answer decode_peer_message<config_fetch_answer>(const std::string& text) {
    return decode(text, [](const json& value) {
        return config_fetch_answer{value.at("head").get<std::string>(),
                                   value.at("chunks").get<std::map<std::string, std::string>>()};
    });
}

template <>
member_ping decode_peer_message<member_ping>(const std::string& text) {
    return decode(text, [](const json& value) {
        return member_ping{instance_id(value.at("to").get<std::string>()),
                           updates_from_json(value.at("updates"))};
    });
}

template <>
member_ping_answer decode_peer_message<member_ping_answer>(const std::string& text) {
    return decode(text, [](const json& value) {
        return member_ping_answer{updates_from_json(value.at("updates")),
                                  summary_from_json(value.at("config"))};
    });
}

template <>
member_ping_via decode_peer_message<member_ping_via>(const std::string& text) {
    return decode(text, [](const json& value) {
        return member_ping_via{instance_id(value.at("target_id").get<std::string>()),
                               endpoint_from_text(value.at("target").get<std::string>()),
                               updates_from_json(value.at("updates"))};
    });
}

} // namespace oriole::links

#include "links/internal/instance_json.h"

#include "links/backend_codec.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace oriole::links {

using machines::instance;
using machines::instance_state;

nlohmann::json instance_to_json(const instance& value) {
    return {{"id", value.id().str()},
            {"zone", value.zone().str()},
            {"caller", value.caller_endpoint().str()},
            {"admin", value.admin_endpoint().str()},
            {"peer", value.peer_endpoint().str()},
            {"state", value.state() == instance_state::leaving ? "leaving" : "live"}};
}

instance instance_from_json(const nlohmann::json& value) {
    const auto text = [&value](const char* field) { return value.at(field).get<std::string>(); };
    const bool leaving = text("state") == "leaving";
    return instance::builder()
        .id(instance_id(text("id")))
        .zone(zone_name(text("zone")))
        .caller_endpoint(endpoint_from_text(text("caller")))
        .admin_endpoint(endpoint_from_text(text("admin")))
        .peer_endpoint(endpoint_from_text(text("peer")))
        .state(leaving ? instance_state::leaving : instance_state::live)
        .build();
}

endpoint endpoint_from_text(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw decode_error("endpoint '" + text + "' is not ADDRESS:PORT");
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        throw decode_error("endpoint '" + text +
                           "' has a port that is not an integer from 0 to 65535");
    }
    return {text.substr(0, colon), port};
}

} // namespace oriole::links

#include "entry/internal/json_fields.h"

namespace oriole::entry {

using nlohmann::json;
using std::chrono::microseconds;

namespace {

// UTF-8 encodes the code points from 0x80 to 0xff as two bytes.
constexpr unsigned first_two_byte_character = 0x80;
constexpr unsigned two_byte_lead = 0xc0;
constexpr unsigned continuation_bits = 6;
constexpr unsigned continuation_mask = 0x3f;

} // namespace

json encode_duration(clock::duration value) {
    return std::chrono::ceil<microseconds>(value).count();
}

clock::duration decode_duration(const json& value) {
    return microseconds(value.get<std::int64_t>());
}

json encode_bytes(const std::string& bytes) {
    std::string text;
    text.reserve(bytes.size());
    for (const char byte : bytes) {
        const auto code = static_cast<unsigned char>(byte);
        if (code < first_two_byte_character) {
            text.push_back(byte);
        } else {
            text.push_back(static_cast<char>(two_byte_lead | (code >> continuation_bits)));
            text.push_back(
                static_cast<char>(first_two_byte_character | (code & continuation_mask)));
        }
    }
    return text;
}

std::string decode_bytes(const json& value) {
    const auto& text = value.get_ref<const std::string&>();
    std::string bytes;
    bytes.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const auto code = static_cast<unsigned char>(text[i]);
        if (code < first_two_byte_character || i + 1 == text.size()) {
            bytes.push_back(text[i]);
            continue;
        }
        const auto next = static_cast<unsigned char>(text[++i]);
        bytes.push_back(
            static_cast<char>((code << continuation_bits) | (next & continuation_mask)));
    }
    return bytes;
}

json encode_position(const machines::log_position& position) {
    return json::array({position.term(), position.offset()});
}

machines::log_position decode_position(const json& value) {
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

json encode_route(const fleet::route& route) {
    return {{"database", route.database},
            {"service", route.service.str()},
            {"policy", static_cast<int>(route.policy)},
            {"timeout", encode_duration(route.statement_timeout)},
            {"target", encode_duration(route.latency_target)},
            {"age", encode_duration(route.max_age)},
            {"open", route.open_to_all},
            {"priority", route.priority}};
}

fleet::route decode_route(const json& in) {
    fleet::route route;
    route.database = in.at("database").get<std::string>();
    route.service = service_name(in.at("service").get<std::string>());
    route.policy = decode_enum(in.at("policy"), fleet::read_policy::own_writes);
    route.statement_timeout = decode_duration(in.at("timeout"));
    route.latency_target = decode_duration(in.at("target"));
    route.max_age = decode_duration(in.at("age"));
    route.open_to_all = in.at("open").get<bool>();
    // Instances of an earlier version send no priority.
    route.priority = in.value("priority", 0);
    return route;
}

} // namespace oriole::entry

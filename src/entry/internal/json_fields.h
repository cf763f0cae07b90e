#pragma once

#include "base/clock.h"
#include "entry/peer_report_codec.h"
#include "fleet/types/configuration.h"
#include "machines/types/log_position.h"

#include <nlohmann/json.hpp>

#include <string>

namespace oriole::entry {

/// Parts of the messages between instances. Decoders throw nlohmann::json::exception or
/// report_unreadable. Thread-safe.

/// Rounded up, so that an age never shrinks on the way.
[[nodiscard]] nlohmann::json encode_duration(clock::duration value);
[[nodiscard]] clock::duration decode_duration(const nlohmann::json& value);

/// Callers' texts are bytes, JSON strings are UTF-8: each byte becomes the character of its number.
[[nodiscard]] nlohmann::json encode_bytes(const std::string& bytes);
[[nodiscard]] std::string decode_bytes(const nlohmann::json& value);

[[nodiscard]] nlohmann::json encode_position(const machines::log_position& position);
[[nodiscard]] machines::log_position decode_position(const nlohmann::json& value);

[[nodiscard]] nlohmann::json encode_route(const fleet::route& route);
[[nodiscard]] fleet::route decode_route(const nlohmann::json& in);

/// The number as a value of an enumeration whose last value is `last`.
template <class Enum>
[[nodiscard]] Enum decode_enum(const nlohmann::json& in, Enum last) {
    const int value = in.get<int>();
    if (value < 0 || value > static_cast<int>(last)) {
        throw report_unreadable("the message has an unknown value " + in.dump());
    }
    return static_cast<Enum>(value);
}

} // namespace oriole::entry

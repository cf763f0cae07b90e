#pragma once

#include "base/clock.h"
#include "entry/peer_report_codec.h"
#include "fleet/types/configuration.h"
#include "machines/types/log_position.h"

#include <nlohmann/json.hpp>

#include <string>

namespace oriole::entry {

/// JSON encoding of values that several messages between instances contain. The decoders throw
/// nlohmann::json::exception or report_unreadable. Thread-safe.

/// Encodes in microseconds, rounded up so that an age is never understated.
[[nodiscard]] nlohmann::json encode_duration(clock::duration value);
[[nodiscard]] clock::duration decode_duration(const nlohmann::json& value);

/// Encodes arbitrary bytes as a JSON string, which must be valid UTF-8: each byte becomes the code
/// point of the same value. Client texts need not be UTF-8.
[[nodiscard]] nlohmann::json encode_bytes(const std::string& bytes);
[[nodiscard]] std::string decode_bytes(const nlohmann::json& value);

[[nodiscard]] nlohmann::json encode_position(const machines::log_position& position);
[[nodiscard]] machines::log_position decode_position(const nlohmann::json& value);

[[nodiscard]] nlohmann::json encode_route(const fleet::route& route);
[[nodiscard]] fleet::route decode_route(const nlohmann::json& in);

/// Decodes the number of an enumerator. Throws report_unreadable when it is not between 0 and
/// `last`, the enumeration's last enumerator.
template <class Enum>
[[nodiscard]] Enum decode_enum(const nlohmann::json& in, Enum last) {
    const int value = in.get<int>();
    if (value < 0 || value > static_cast<int>(last)) {
        throw report_unreadable("enumerator out of range in a message: " + in.dump());
    }
    return static_cast<Enum>(value);
}

} // namespace oriole::entry

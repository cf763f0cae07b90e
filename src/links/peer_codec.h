#pragma once

#include "links/backend_codec.h"
#include "links/types/peer_messages.h"

#include <string>

namespace oriole::links {

/// JSON text of the messages between instances: params and results of peer_link::call. Decoding
/// ignores unknown fields, so that a later minor version can add fields. Thread-safe.
[[nodiscard]] std::string encode_peer_message(const config_summary& message);
[[nodiscard]] std::string encode_peer_message(const config_offer& message);
[[nodiscard]] std::string encode_peer_message(const config_fetch& message);
[[nodiscard]] std::string encode_peer_message(const config_fetch_answer& message);
[[nodiscard]] std::string encode_peer_message(const member_ping& message);
[[nodiscard]] std::string encode_peer_message(const member_ping_answer& message);
[[nodiscard]] std::string encode_peer_message(const member_ping_via& message);

/// Throws decode_error.
template <class Message>
[[nodiscard]] Message decode_peer_message(const std::string& text);

template <>
config_summary decode_peer_message<config_summary>(const std::string& text);
template <>
config_offer decode_peer_message<config_offer>(const std::string& text);
template <>
config_fetch decode_peer_message<config_fetch>(const std::string& text);
template <>
config_fetch_answer decode_peer_message<config_fetch_answer>(const std::string& text);
template <>
member_ping decode_peer_message<member_ping>(const std::string& text);
template <>
member_ping_answer decode_peer_message<member_ping_answer>(const std::string& text);
template <>
member_ping_via decode_peer_message<member_ping_via>(const std::string& text);

} // namespace oriole::links

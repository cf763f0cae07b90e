#pragma once

#include "machines/types/instance.h"
#include "machines/types/member_update.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriole::links {

/// Names of the peer methods for configuration and membership.
inline constexpr const char* config_offer_method = "config.offer";
inline constexpr const char* config_fetch_method = "config.fetch";
inline constexpr const char* member_ping_method = "member.ping";
inline constexpr const char* member_ping_via_method = "member.ping_via";

/// Identifies the configuration that an instance holds.
struct config_summary {
    std::uint64_t generation = 0;
    std::string digest;
    /// Time since this was last known to be the newest configuration in the platform; nullopt when
    /// unknown.
    std::optional<std::chrono::milliseconds> age;

    friend bool operator==(const config_summary&, const config_summary&) = default;
};

/// Params of config.offer: announces a configuration to a peer. The result is the receiver's
/// config_summary.
struct config_offer {
    std::uint64_t generation = 0;
    std::string digest;
    /// Instance that read the configuration from the platform; empty when peers only compare their
    /// configurations.
    instance_id origin;
    endpoint from; ///< peer endpoint of the sender, to which config.fetch can be sent

    friend bool operator==(const config_offer&, const config_offer&) = default;
};

/// Params of config.fetch: requests the head object, or chunks, of the configuration that the
/// receiver holds.
struct config_fetch {
    std::vector<std::string>
        chunks; ///< digests of the requested chunks; empty: only the head is requested

    friend bool operator==(const config_fetch&, const config_fetch&) = default;
};

/// Result of config.fetch. Contains as many of the requested chunks as fit into a message; the
/// caller requests the rest again.
struct config_fetch_answer {
    std::string head;                          ///< text of the object config/head
    std::map<std::string, std::string> chunks; ///< texts by digest

    friend bool operator==(const config_fetch_answer&, const config_fetch_answer&) = default;
};

/// Params of member.ping.
struct member_ping {
    /// The intended receiver. An instance with another id, for example one started later at the
    /// same address, refuses the ping, so that the earlier instance is not taken to be alive. Empty
    /// when the sender knows only the address, as on joining.
    instance_id to;
    std::vector<machines::member_update> updates;

    friend bool operator==(const member_ping&, const member_ping&) = default;
};

/// Result of member.ping and member.ping_via.
struct member_ping_answer {
    std::vector<machines::member_update> updates;
    config_summary config;

    friend bool operator==(const member_ping_answer&, const member_ping_answer&) = default;
};

/// Params of member.ping_via: asks the receiver to ping `target` on behalf of the sender.
struct member_ping_via {
    instance_id target_id;
    endpoint target; ///< peer endpoint of the instance `target_id`
    std::vector<machines::member_update> updates;

    friend bool operator==(const member_ping_via&, const member_ping_via&) = default;
};

} // namespace oriole::links

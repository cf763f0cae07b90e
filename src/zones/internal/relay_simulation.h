#pragma once

#include "zones/relay_topology.h"

#include <cstddef>
#include <cstdint>

namespace oriole::zones {

/// Parameters of one simulated relay of a configuration generation.
struct relay_simulation_case {
    std::size_t instances = 8;
    std::size_t origins = 2; ///< store watchers, each of which starts a relay
    double dead_share = 0.0; ///< ratio of dead instances to all instances; origins are never dead
    /// If false, dead instances do not answer and senders notice by a timeout. If true, they accept
    /// messages but relay nothing, like a paused process whose kernel still accepts data.
    bool dead_accept = false;
    std::uint64_t seed = 1; ///< seed for the choice of dead instances; also used as the generation

    friend bool operator==(const relay_simulation_case&, const relay_simulation_case&) = default;
};

/// Measurements of one simulated relay.
struct relay_simulation_result {
    std::size_t messages = 0;         ///< relay messages sent, including those without an answer
    std::size_t bytes = 0;            ///< total size of the messages and their answers
    std::size_t hops = 0;             ///< hops until the last live instance knows the generation
    std::size_t timeouts_in_path = 0; ///< largest number of timeouts on the path to a live instance
    std::size_t most_sent_by_one = 0; ///< messages sent by the instance that sends the most
    double reached_share = 0.0;       ///< ratio of live instances that learn of the generation

    friend bool operator==(const relay_simulation_result&,
                           const relay_simulation_result&) = default;
};

/// Size in bytes of a relay message or its answer, including the frame, MAC, TCP and IP headers.
inline constexpr std::size_t relay_message_bytes = 300;

/// Simulates the relay hop by hop. The result is deterministic for a given seed.
[[nodiscard]] relay_simulation_result simulate_relay(const relay_topology& topology,
                                                     const relay_simulation_case& setting);

} // namespace oriole::zones

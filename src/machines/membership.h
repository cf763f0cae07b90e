#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "machines/types/member_update.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace oriole::machines {

/// Timing and limits of the membership protocol. The traffic of an instance does not depend on the
/// number of members: by default one ping per period, and three indirect pings when it is not
/// answered.
struct membership_settings {
    /// One member is pinged in each period.
    std::chrono::milliseconds probe_period{1000};
    /// After this time without an answer, other members are asked to ping the target (indirect
    /// probes).
    std::chrono::milliseconds direct_timeout{300};
    std::size_t indirect_probes = 3;
    /// How long a suspected member has to refute the suspicion before its state becomes `gone`.
    /// Must be long enough for the suspicion to reach it through several other members.
    std::chrono::milliseconds suspicion_time{4000};
    /// A longer gap between two ticks means that this process was paused. Answers that arrived
    /// during the pause were not read, so no member is suspected for lack of an answer.
    std::chrono::milliseconds pause_threshold{400};
    /// How long a member in state `gone` is remembered, so that a late update does not add it
    /// again.
    std::chrono::milliseconds gone_retention{600'000};
    std::size_t updates_per_message = 6;

    friend bool operator==(const membership_settings&, const membership_settings&) = default;
};

/// Ping `to`; report the answer with `ping_answered`.
struct send_ping {
    std::uint64_t probe = 0;
    instance to;
    std::vector<member_update> updates;

    friend bool operator==(const send_ping&, const send_ping&) = default;
};

/// Ask `via` to ping `target`; report the answer with `ping_answered`.
struct send_ping_via {
    std::uint64_t probe = 0;
    instance via;
    instance target;
    std::vector<member_update> updates;

    friend bool operator==(const send_ping_via&, const send_ping_via&) = default;
};

using membership_action = std::variant<send_ping, send_ping_via>;

/// Tracks which instances are members of the fleet. Has no socket and no clock: callers pass the
/// current time and send the returned messages. Not thread-safe; owned by the control thread.
class membership {
public:
    virtual ~membership() = default;

    /// Returns the pings to send now. Call several times per `membership_settings::direct_timeout`.
    [[nodiscard]] virtual std::vector<membership_action> tick(clock::time_point now) = 0;

    /// Processes the updates of a received ping. Returns the updates to send in the answer.
    [[nodiscard]] virtual std::vector<member_update>
    ping_received(const std::vector<member_update>& updates, clock::time_point now) = 0;

    /// Processes an answer of the target of `probe`, received directly or through another member.
    virtual void ping_answered(std::uint64_t probe, const std::vector<member_update>& updates,
                               clock::time_point now) = 0;

    /// Processes the platform's list of instances. The list lags behind: it adds members, and a
    /// suspected member that it no longer contains becomes `gone`, but a member that answers pings
    /// stays.
    virtual void list_received(const std::vector<instance>& list, clock::time_point now) = 0;

    /// Called when this instance shuts down. The next messages announce its state `leaving`.
    virtual void leave() = 0;

    /// All known members sorted by id, including this instance but none in state `gone`.
    [[nodiscard]] virtual std::vector<member_update> members() const = 0;

    /// Ids of the live and the suspected members, sorted.
    [[nodiscard]] virtual std::vector<instance_id> participants() const = 0;
};

/// Implements the SWIM protocol: direct pings in random order, indirect pings through other
/// members, suspicions that the member can refute, and updates piggybacked on the pings.
/// Precondition: `random` outlives the result.
[[nodiscard]] std::unique_ptr<membership>
make_probing_membership(instance self, membership_settings settings, random_source& random);

} // namespace oriole::machines

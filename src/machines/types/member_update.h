#pragma once

#include "machines/types/instance.h"

#include <compare>
#include <cstdint>

namespace oriole::machines {

/// State of a member as seen by other members. Within one incarnation, a later enumerator overrides
/// an earlier one.
enum class member_state {
    live,
    suspected, ///< did not answer; may still refute the suspicion
    leaving,   ///< announced that it is shutting down; gets no new work
    gone       ///< declared failed, or has finished leaving
};

/// Announces the state of one member. Of two updates of the same member, the one with the higher
/// incarnation overrides the other; within one incarnation, the one with the higher state. Only the
/// member itself raises its incarnation, to refute a suspicion or to announce that it leaves.
struct member_update {
    instance instance_info;
    std::uint64_t incarnation = 0;
    member_state state = member_state::live;

    /// Whether this update overrides `other`, an update of the same member.
    [[nodiscard]] bool overrides(const member_update& other) const noexcept {
        return incarnation != other.incarnation ? incarnation > other.incarnation
                                                : state > other.state;
    }

    friend auto operator<=>(const member_update&, const member_update&) = default;
};

} // namespace oriole::machines

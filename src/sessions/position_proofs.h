#pragma once

#include "base/clock.h"
#include "machines/types/log_position.h"

#include <deque>
#include <optional>

namespace oriole::sessions {

/// A position that the primary held: every commit acknowledged before `asked` is at or before it.
struct position_proof {
    clock::time_point asked; ///< taken before the question left
    machines::log_position position;

    friend bool operator==(const position_proof&, const position_proof&) = default;
};

/// The recent proofs of one service, and what a read needs by them. Time is the boot time clock's:
/// it counts suspensions of the machine, which the steady clock does not. Not thread-safe.
class position_proofs {
public:
    /// Adds a proof. Precondition: the position was shown by a server that held the lead when it
    /// answered.
    void add(const position_proof& proof);

    /// The smallest position that covers every commit acknowledged more than `max_age` before `now`
    /// and the session's own commit; nullopt when the proofs do not reach far enough.
    [[nodiscard]] std::optional<machines::log_position>
    required(clock::time_point now, clock::duration max_age,
             std::optional<machines::log_position> own_commit) const;

    /// The newest proof.
    [[nodiscard]] std::optional<position_proof> newest() const;

    /// When the position was first proved; nullopt when no proof reaches it.
    [[nodiscard]] std::optional<clock::time_point>
    proved_since(const machines::log_position& position) const;

private:
    std::deque<position_proof> m_proofs;                ///< in the order of `asked`
    std::optional<machines::log_position> m_term_start; ///< first position of the newest term
};

} // namespace oriole::sessions

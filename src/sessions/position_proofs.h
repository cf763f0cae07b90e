#pragma once

#include "base/clock.h"
#include "machines/types/log_position.h"

#include <deque>
#include <optional>

namespace oriole::sessions {

/// A log position reported by the primary. It proves that every commit acknowledged before `asked`
/// is at or before `position`.
struct position_proof {
    clock::time_point asked; ///< time before the request to the primary was sent
    machines::log_position position;

    friend bool operator==(const position_proof&, const position_proof&) = default;
};

/// The recent position proofs of one service. They determine which log position a replica must have
/// reached to serve a read. Times are of the boot clock, which counts time in suspension, unlike
/// the steady clock. Not thread-safe.
class position_proofs {
public:
    /// Adds a proof. Precondition: the position was reported by a server that was the primary when
    /// it answered.
    void add(const position_proof& proof);

    /// The smallest known position that covers `own_commit` and every commit acknowledged more than
    /// `max_age` before `now`; nullopt when no proof is recent enough.
    [[nodiscard]] std::optional<machines::log_position>
    required(clock::time_point now, clock::duration max_age,
             std::optional<machines::log_position> own_commit) const;

    /// The newest proof; nullopt when there is none.
    [[nodiscard]] std::optional<position_proof> newest() const;

    /// The `asked` time of the first proof at or after `position`; nullopt when there is none.
    [[nodiscard]] std::optional<clock::time_point>
    proved_since(const machines::log_position& position) const;

private:
    std::deque<position_proof> m_proofs; ///< in ascending order of `asked`
    /// First proved position of the newest term.
    std::optional<machines::log_position> m_term_start;
};

} // namespace oriole::sessions

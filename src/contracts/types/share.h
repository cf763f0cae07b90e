#pragma once

#include "base/clock.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace oriole::contracts {

/// Millionths of an account's rate and burst. Integers, so that sums over the fleet are exact, and
/// relative to the configured rate, so that a changed rate does not change the share ledger.
using share_parts = std::int64_t;

inline constexpr share_parts whole_share = 1'000'000;

/// Half of each rate is divided evenly over the fleet's slots as guaranteed floors; the other half
/// is loaned to the instances with demand.
inline constexpr share_parts floor_half = whole_share / 2;
inline constexpr share_parts loan_half = whole_share - floor_half;

/// Parts of a rate that may be spent until a point in time on the holder's own monotonic clock.
/// Immutable.
class share_piece {
public:
    share_piece(share_parts parts, clock::time_point expires)
        : m_parts(parts), m_expires(expires) {}

    [[nodiscard]] share_parts parts() const noexcept { return m_parts; }

    [[nodiscard]] clock::time_point expires() const noexcept { return m_expires; }

    friend auto operator<=>(const share_piece&, const share_piece&) = default;

private:
    share_parts m_parts;
    clock::time_point m_expires;
};

/// The parts of an account's rate and burst that an instance or one of its traffic threads may
/// spend. Immutable.
class share {
public:
    share() = default;

    /// Drops pieces without parts and sorts the others by expiry time.
    explicit share(std::vector<share_piece> pieces) : m_pieces(std::move(pieces)) {
        std::erase_if(m_pieces, [](const share_piece& piece) { return piece.parts() <= 0; });
        std::sort(m_pieces.begin(), m_pieces.end(), [](const auto& left, const auto& right) {
            return std::pair(left.expires(), left.parts()) <
                   std::pair(right.expires(), right.parts());
        });
    }

    [[nodiscard]] const std::vector<share_piece>& pieces() const noexcept { return m_pieces; }

    /// The sum of the pieces that have not expired at `now`.
    [[nodiscard]] share_parts parts(clock::time_point now) const noexcept {
        share_parts sum = 0;
        for (const auto& piece : m_pieces) {
            sum += now < piece.expires() ? piece.parts() : 0;
        }
        return sum;
    }

    /// Returns the share with each piece multiplied by `numerator / denominator`, rounded down.
    /// Precondition: 0 <= numerator <= denominator, denominator > 0.
    [[nodiscard]] share scaled(std::int64_t numerator, std::int64_t denominator) const {
        std::vector<share_piece> pieces;
        for (const auto& piece : m_pieces) {
            pieces.emplace_back(piece.parts() * numerator / denominator, piece.expires());
        }
        return share(std::move(pieces));
    }

    friend bool operator==(const share&, const share&) = default;

private:
    std::vector<share_piece> m_pieces;
};

} // namespace oriole::contracts

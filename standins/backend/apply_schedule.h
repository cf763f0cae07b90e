#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

namespace oriole::standins {

/// Range of the delay between receiving log entries and applying them.
struct lag_range {
    std::chrono::milliseconds min{0};
    std::chrono::milliseconds max{0};

    friend bool operator==(const lag_range&, const lag_range&) = default;
};

/// Simulates the replication lag of a replica: schedules when received log entries are applied.
/// Each batch is due after a random delay, but never before an earlier batch. Not thread-safe.
class apply_schedule {
public:
    apply_schedule(lag_range lag, std::unique_ptr<random_source> random)
        : m_lag(lag), m_random(std::move(random)) {}

    /// Schedules the entries up to `offset`, which were received at `now`.
    void add_batch(std::uint64_t offset, clock::time_point now);

    /// Removes the batches due at `now` and returns the offset up to which entries are to be
    /// applied; none when no batch is due.
    [[nodiscard]] std::optional<std::uint64_t> take_due(clock::time_point now);

    /// When the next batch is due; none when no batch is scheduled.
    [[nodiscard]] std::optional<clock::time_point> next_due() const;

    /// Limits the scheduled batches to entries up to `offset`.
    void truncate(std::uint64_t offset);

private:
    struct batch {
        std::uint64_t offset = 0;
        clock::time_point due;
    };

    lag_range m_lag;
    std::unique_ptr<random_source> m_random;
    std::deque<batch> m_batches;
};

} // namespace oriole::standins

#pragma once

#include "base/clock.h"
#include "contracts/types/usage.h"

#include <cstddef>
#include <optional>

namespace oriole::contracts {

/// Counts the requests that one traffic thread answered completely. Not thread-safe; each traffic
/// thread has its own and passes the result of `take` to the control thread.
class usage_counter {
public:
    virtual ~usage_counter() = default;

    virtual void count(const usage_key& key, double weight) = 0;

    /// Returns the counts since the last call and starts again from zero.
    [[nodiscard]] virtual usage_table take() = 0;
};

/// Sums the traffic threads' counts and decides when to write them to the platform. An instance
/// that crashes loses the usage since its last stored record: at most `write_interval`, the
/// threads' reporting interval and the duration of a platform outage together. Not thread-safe;
/// owned by the control thread.
class usage_meter {
public:
    virtual ~usage_meter() = default;

    virtual void merge(const usage_table& counted) = 0;

    /// The usage record to write now, or none if nothing has changed or the last attempt was less
    /// than `write_interval` ago. Counts of a record that could not be stored are part of the next
    /// one.
    [[nodiscard]] virtual std::optional<usage_record> due_record(clock::time_point now) = 0;

    /// The usage record with all counts so far, for a planned stop.
    [[nodiscard]] virtual usage_record final_record() = 0;

    /// Called when the platform has stored the record with that sequence number. May be called late
    /// or repeatedly.
    virtual void stored(std::uint64_t sequence) = 0;

    static constexpr clock::duration write_interval = std::chrono::seconds(10);

    /// Limits a record's size to the platform's 1 MB per value. Once a record has this many rows,
    /// requests to further services of an account are counted in one common row.
    static constexpr std::size_t max_rows = 4096;
};

/// Whether `next` should replace the stored usage record of the same instance.
[[nodiscard]] bool is_newer(const usage_record& next, const usage_record& stored);

} // namespace oriole::contracts

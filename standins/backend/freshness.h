#pragma once

#include "base/clock.h"
#include "links/types/backend_messages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace oriole::standins {

/// Tracks an upper bound on the age of a replica's data: the time since it sent the last fetch
/// request whose answer it has applied in full. Not thread-safe.
class replica_freshness {
public:
    /// Records a fetch answer in which the primary's last entry is at `offset`. `as_of` is the time
    /// at which the fetch request was sent minus the age of the primary's own data.
    void add_fetch(std::uint64_t offset, clock::time_point as_of);

    /// Entries up to `offset` have been applied.
    void on_applied(std::uint64_t offset);

    /// Discards fetch answers whose entries are not applied yet.
    void discard_pending() { m_pending.clear(); }

    /// The time as of which the applied data is known to be current; none before the first fetch
    /// answer is applied.
    [[nodiscard]] std::optional<clock::time_point> as_of() const noexcept { return m_as_of; }

private:
    struct pending_fetch {
        std::uint64_t offset = 0;
        clock::time_point as_of;
    };

    std::deque<pending_fetch> m_pending;
    std::optional<clock::time_point> m_as_of;
};

/// Tracks when a primary last knew that no higher term has been accepted by a majority: the latest
/// time at which a majority of the database's servers, the primary included, was at the primary's
/// term. Not thread-safe.
class member_contacts {
public:
    /// Discards all contacts and sets the servers of the database; `self` is the primary.
    void reset(std::vector<links::member_address> members, const server_name& self);

    /// Records that `member` was at the primary's term at `as_of`. Ignored for servers that are not
    /// members of the database.
    void record_contact(const server_name& member, clock::time_point as_of);

    /// The latest time at which a majority was known to be at the primary's term; `now` when the
    /// primary is the only member, none when no majority has been in contact yet.
    [[nodiscard]] std::optional<clock::time_point>
    majority_contact_time(clock::time_point now) const;

private:
    [[nodiscard]] std::optional<clock::time_point> compute_majority_contact_time() const;

    std::map<server_name, std::optional<clock::time_point>> m_contact_times;
    std::optional<clock::time_point> m_majority_contact_time;
};

} // namespace oriole::standins

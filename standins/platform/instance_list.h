#pragma once

#include "base/clock.h"
#include "base/types/endpoint.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace oriole::standins {

struct registered_instance {
    std::string description; ///< JSON text sent by the instance
    endpoint admin_endpoint; ///< probed to check that the instance is running

    friend bool operator==(const registered_instance&, const registered_instance&) = default;
};

/// The platform's list of registered instances. Readers see the list as it was `lag` ago. Not
/// thread-safe.
class instance_list {
public:
    using entries = std::map<std::string, registered_instance>;

    explicit instance_list(clock::duration lag) : m_lag(lag) {}

    /// Adds or replaces an instance, and removes any other one with the same admin endpoint.
    void put(const std::string& id, registered_instance entry, clock::time_point now);
    void remove(const std::string& id, clock::time_point now);

    /// Records the result of one probe of the instance's admin endpoint. An instance is removed
    /// after `probes_until_removal` consecutive failed probes.
    void record_probe(const std::string& id, bool answered, clock::time_point now);

    /// The list without lag, as used for probing.
    [[nodiscard]] const entries& current_entries() const noexcept { return m_current; }

    /// The list as it was `lag` before `now`.
    [[nodiscard]] entries visible_entries(clock::time_point now);

private:
    struct snapshot {
        clock::time_point since;
        entries list;
    };

    void save_snapshot(clock::time_point now);

    clock::duration m_lag;
    entries m_current;
    std::map<std::string, int> m_failed_probes;
    std::deque<snapshot> m_snapshots;
};

/// Probes are about one second apart, so an instance disappears from the list about three seconds
/// after it ends, as on the real platform.
inline constexpr int probes_until_removal = 3;

} // namespace oriole::standins

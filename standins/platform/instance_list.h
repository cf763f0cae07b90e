#pragma once

#include "base/clock.h"
#include "base/types/endpoint.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace oriole::standins {

struct registered_instance {
    std::string description; ///< the JSON text that the instance announced
    endpoint admin;          ///< probed to find out whether the instance still runs

    friend bool operator==(const registered_instance&, const registered_instance&) = default;
};

/// The platform's list of instances. Readers see it as it was `lag` ago. Not thread-safe.
class instance_list {
public:
    using entries = std::map<std::string, registered_instance>;

    explicit instance_list(clock::duration lag) : m_lag(lag) {}

    void put(const std::string& id, registered_instance entry, clock::time_point now);
    void remove(const std::string& id, clock::time_point now);

    /// Records one probe of the instance's admin address. An instance that failed
    /// `probes_until_removal` probes in a row is removed.
    void record_probe(const std::string& id, bool answered, clock::time_point now);

    /// The list without lag.
    [[nodiscard]] const entries& current() const noexcept { return m_current; }

    /// The list as it was `lag` before `now`.
    [[nodiscard]] entries visible(clock::time_point now);

private:
    struct snapshot {
        clock::time_point since;
        entries list;
    };

    void remember(clock::time_point now);

    clock::duration m_lag;
    entries m_current;
    std::map<std::string, int> m_failed_probes;
    std::deque<snapshot> m_history;
};

/// Probes are about a second apart, so that an instance disappears some three seconds after its
/// end, as in the platform's own list.
inline constexpr int probes_until_removal = 3;

} // namespace oriole::standins

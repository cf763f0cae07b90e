#pragma once

#include "base/clock.h"
#include "machines/types/database_digest.h"
#include "machines/types/instance.h"

#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace oriole::machines {

/// Digests to send, by receiving instance. One message carries all digests for a receiver.
using digest_deliveries = std::map<instance_id, std::vector<database_digest>>;

struct digest_schedule_settings {
    /// Refresh interval for the database's other watchers. They probe the servers themselves, so
    /// an unchanged digest only has to confirm occasionally that the views agree.
    std::chrono::milliseconds watcher_refresh_interval{2000};
    /// Refresh interval for instances that do not watch the database. They have no probes of their
    /// own and route reads by the log positions in the digest.
    std::chrono::milliseconds non_watcher_refresh_interval{200};

    friend bool operator==(const digest_schedule_settings&,
                           const digest_schedule_settings&) = default;
};

/// Decides which instances receive digests of the databases that this instance watches (probes),
/// and when. A digest with failure evidence, or with a change of primary, term or `writes_held`, is
/// sent to the database's other watchers at once. The first watcher of each zone sends digests to
/// the instances of its zone that do not watch the database. Not thread-safe.
class digest_schedule {
public:
    virtual ~digest_schedule() = default;

    /// Returns the digests to send now. `digests` has one digest for each database that this
    /// instance watches; `instances` are the live instances, including this one.
    [[nodiscard]] virtual digest_deliveries due(const std::vector<database_digest>& digests,
                                                const std::vector<instance>& instances,
                                                clock::time_point now) = 0;
};

[[nodiscard]] std::unique_ptr<digest_schedule>
make_digest_schedule(instance_id self, digest_schedule_settings settings = {});

} // namespace oriole::machines

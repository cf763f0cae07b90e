#pragma once

#include "machines/types/database.h"
#include "machines/types/instance.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace oriole::machines {

/// Decides which instances watch a database, that is, probe its servers and start failovers. All
/// instances compute the same result from the same instance list. While their lists differ, there
/// may be more or fewer watchers, which is harmless. Thread-safe.
class watch_assignment {
public:
    virtual ~watch_assignment() = default;

    /// Two live instances of each zone in the order of their rendezvous rank, which is also the
    /// order in which they attempt a failover.
    [[nodiscard]] virtual std::vector<instance_id>
    watchers(const database_name& database, const std::vector<instance>& instances) const = 0;

    /// Index of `self` in `watchers`, none if it is not a watcher. The watcher of rank 0 starts a
    /// failover at once, the others after a delay that grows with the rank.
    [[nodiscard]] virtual std::optional<std::size_t> rank(const database_name& database,
                                                          const std::vector<instance>& instances,
                                                          const instance_id& self) const = 0;
};

[[nodiscard]] std::unique_ptr<watch_assignment> make_watch_assignment();

} // namespace oriole::machines

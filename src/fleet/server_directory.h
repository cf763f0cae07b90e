#pragma once

#include "base/clock.h"
#include "fleet/types/registered_server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace oriole::fleet {

/// The backend servers registered in the store. A server whose entry is missing after a store
/// outage or a restore is removed only once it had time to register again. An entry that a restored
/// store holds from an earlier time does not replace a newer one or bring back a removed server.
/// Not thread-safe; owned by the control thread.
class server_directory {
public:
    virtual ~server_directory() = default;

    /// Replaces the directory with the store's complete list at store revision `revision`. Lists
    /// that are older than the directory are ignored.
    virtual void replace(std::vector<registered_server> servers, const store_revision& revision,
                         clock::time_point now) = 0;

    /// Applies a changed entry of a server, read at store revision `revision`.
    virtual void update(const registered_server& server, const store_revision& revision,
                        clock::time_point now) = 0;

    /// Applies the removal of a server's entry, which happened at store revision `revision`.
    virtual void remove(const server_name& id, const store_revision& revision,
                        clock::time_point now) = 0;

    /// Starts the grace period for servers to register again, after a store outage has ended.
    virtual void store_reconnected(clock::time_point now) = 0;

    /// Removes servers that did not register again within the grace period. Returns whether any was
    /// removed.
    [[nodiscard]] virtual bool expire(clock::time_point now) = 0;

    /// The newest store revision that the directory reflects.
    [[nodiscard]] virtual store_revision revision() const = 0;

    [[nodiscard]] virtual std::vector<registered_server> servers() const = 0;

    /// The last entries of the servers that were removed after `since`, which may not be more than
    /// 10 min ago.
    [[nodiscard]] virtual std::vector<registered_server>
    removed_since(clock::time_point since) const = 0;
};

[[nodiscard]] std::unique_ptr<server_directory> make_server_directory();

} // namespace oriole::fleet

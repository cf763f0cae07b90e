#pragma once

#include "base/clock.h"
#include "fleet/types/listed_server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace oriole::fleet {

/// The servers that the store lists, and the zones that are evacuated. An entry that is missing
/// after an outage of the store counts as gone only once the server had time to come back. Not
/// thread-safe; owned by the control thread.
class server_directory {
public:
    virtual ~server_directory() = default;

    /// The store's whole list at `revision`.
    virtual void replace(std::vector<listed_server> servers, std::uint64_t revision,
                         clock::time_point now) = 0;

    /// A server's entry has changed at `revision`.
    virtual void update(const listed_server& server, std::uint64_t revision,
                        clock::time_point now) = 0;

    /// A server's entry was removed at `revision`.
    virtual void remove(const server_name& id, std::uint64_t revision, clock::time_point now) = 0;

    /// The store answered again after it had not for a while.
    virtual void store_regained(clock::time_point now) = 0;

    /// Drops servers whose entries stayed away. True when that changed the list.
    [[nodiscard]] virtual bool expire(clock::time_point now) = 0;

    /// The store's revision that the list stands for.
    [[nodiscard]] virtual std::uint64_t revision() const = 0;

    [[nodiscard]] virtual std::vector<listed_server> servers() const = 0;
};

[[nodiscard]] std::unique_ptr<server_directory> make_server_directory();

} // namespace oriole::fleet

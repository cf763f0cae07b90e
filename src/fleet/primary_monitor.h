#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/role_assignment.h"
#include "fleet/types/primary_evidence.h"
#include "fleet/types/registered_instance.h"
#include "fleet/types/registered_server.h"
#include "machines/types/log_position.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::fleet {

/// Why a service needs another primary.
enum class change_reason {
    lost,   ///< the primary does not answer or is no longer listed
    planned ///< the primary is draining or its zone is evacuated
};

/// A change of primary that this instance should carry out.
struct primary_change {
    server_name from; ///< empty when no primary is known
    change_reason reason = change_reason::lost;
    std::vector<server_name> candidates; ///< servers that may be promoted, preferred ones first
    /// Servers that are about to leave, but may have the only copy of an acknowledged commit.
    std::vector<server_name> leaving;
    /// Servers whose entries were removed a short time ago, though they had not reported that they
    /// leave: they may have ended, or only not reach the store.
    std::vector<registered_server> unlisted;
    int synchronous_replicas = 0; ///< replicas that receive a commit before it is acknowledged

    friend bool operator==(const primary_change&, const primary_change&) = default;
};

/// What is known about one service when the monitor decides whether its primary has to change.
struct primary_change_inputs {
    service_name service;
    std::vector<registered_server> servers;
    std::vector<registered_server> unlisted; ///< as in primary_change
    std::set<zone_name> evacuated_zones;
    int synchronous_replicas = 0; ///< replicas that receive a commit before it is acknowledged
    primary_evidence own;         ///< what this instance observed
    std::map<instance_id, primary_evidence> peers; ///< recent reports of other instances
    std::vector<registered_instance> instances;    ///< instances that may promote, in turn order
    instance_id last_promoter;                     ///< instance that wrote the last promotion order

    friend bool operator==(const primary_change_inputs&, const primary_change_inputs&) = default;
};

/// Tracks the primary of one service and decides whether this instance should replace it. Not
/// thread-safe; owned by the control thread.
class primary_monitor {
public:
    virtual ~primary_monitor() = default;

    /// Processes a new server list. `revision` is the store revision at which it was read.
    virtual void listed(const std::vector<registered_server>& servers,
                        const store_revision& revision) = 0;

    /// Records that `server` proved that it is the primary in the term of the log position
    /// `position`.
    virtual void proved(const server_name& server, const machines::log_position& position) = 0;

    /// Records that the platform accepted a promotion order for `server`, which makes it the
    /// primary of a new, higher term; where leases are needed, that such an order exists.
    virtual void promoted(const server_name& server) = 0;

    /// Records that the server whose promotion was ordered cannot take over, so that another change
    /// is due at once.
    virtual void promotion_failed() = 0;

    /// The server believed to be the primary; empty when none is known.
    [[nodiscard]] virtual server_name primary() const = 0;

    /// The highest primary term seen so far; every promotion starts a higher one.
    [[nodiscard]] virtual std::uint64_t term() const = 0;

    /// The change that this instance should carry out now; nullopt when there is none. Instances
    /// take turns after a delay each, starting with the one that wrote the last promotion order, so
    /// that usually only one acts.
    [[nodiscard]] virtual std::optional<primary_change>
    due_change(const primary_change_inputs& inputs, clock::time_point now) = 0;
};

/// `leasing` tells whether a promoted server first has to wait for the end of the leases on the
/// previous primary, and whether that server may still be listed as the primary meanwhile.
[[nodiscard]] std::unique_ptr<primary_monitor> make_primary_monitor(const registered_instance& own,
                                                                    primary_leasing leasing);

} // namespace oriole::fleet

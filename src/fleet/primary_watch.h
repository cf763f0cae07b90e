#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/listed_instance.h"
#include "fleet/types/listed_server.h"
#include "fleet/types/primary_evidence.h"
#include "machines/types/log_position.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::fleet {

/// Why a service needs another primary.
enum class change_reason { lost, planned };

/// A change of primary that this instance should bring about.
struct primary_change {
    server_name from; ///< empty when no primary is known
    change_reason reason = change_reason::lost;
    std::vector<server_name> candidates; ///< servers that may take over, the preferred ones first

    friend bool operator==(const primary_change&, const primary_change&) = default;
};

/// What is known of one service when a change of primary is weighed.
struct primary_situation {
    service_name service;
    std::vector<listed_server> servers;
    std::set<zone_name> evacuated_zones;
    primary_evidence own;
    std::map<instance_id, primary_evidence> peers; ///< reports that are recent
    std::vector<listed_instance> instances;        ///< that may act, in the order of their turns
    instance_id last_holder;                       ///< that ordered the last change

    friend bool operator==(const primary_situation&, const primary_situation&) = default;
};

/// Who leads one service, and whether this instance should bring about a change. Not thread-safe;
/// owned by the control thread.
class primary_watch {
public:
    virtual ~primary_watch() = default;

    /// The store's list has changed; `revision` is the store's.
    virtual void listed(const std::vector<listed_server>& servers, std::uint64_t revision) = 0;

    /// A server led the service at `position`'s term when it answered.
    virtual void proved(const server_name& server, const machines::log_position& position) = 0;

    /// An order was accepted that makes the server lead a term above all known ones.
    virtual void promoted(const server_name& server) = 0;

    /// The server that leads, as far as is known.
    [[nodiscard]] virtual server_name primary() const = 0;

    /// Highest term that is known.
    [[nodiscard]] virtual std::uint64_t term() const = 0;

    /// The change that is due at this instance now. Instances step in one after the other, the one
    /// that ordered the last change first, so that usually one acts.
    [[nodiscard]] virtual std::optional<primary_change>
    due_change(const primary_situation& situation, clock::time_point now) = 0;
};

[[nodiscard]] std::unique_ptr<primary_watch> make_primary_watch(const listed_instance& own);

} // namespace oriole::fleet

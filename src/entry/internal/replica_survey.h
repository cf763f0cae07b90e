#pragma once

#include <utility>

#include "entry/internal/fleet_state.h"
#include "entry/internal/server_queries.h"
#include "fleet/promotion_choice.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <vector>

namespace oriole::entry {

/// Asks the replicas of a service how much of the primary's log they have received. Not
/// thread-safe; runs on the control thread.
class replica_survey {
public:
    /// `is_refused` tells whether the platform has just refused to promote a server; it counts as
    /// one that does not answer.
    replica_survey(fleet_state& fleet, server_queries& queries,
                   std::function<bool(const server_name&)> is_refused);

    /// The logs of the candidates and, with synchronous replicas, of all others that may have the
    /// only copy of a commit, preferred ones first.
    [[nodiscard]] boost::asio::awaitable<std::vector<fleet::replica_log>>
    ask(fleet::primary_change change);

    /// As ask(), and stops the replicas that answer from receiving, until a promotion or resume():
    /// a primary that is not lost after all gets no commit acknowledged by them any more. Pauses
    /// none where commits need no replica.
    [[nodiscard]] boost::asio::awaitable<std::vector<fleet::replica_log>>
    ask_and_pause(service_name service, fleet::primary_change change);

    /// Lets the replicas receive again.
    [[nodiscard]] boost::asio::awaitable<void> resume(fleet::primary_change change);

private:
    struct replica {
        fleet::registered_server server;
        bool is_leaving = false;

        friend bool operator==(const replica&, const replica&) = default;
    };

    struct answers {
        std::vector<fleet::replica_log> logs;
        std::uint64_t highest_term = 0;

        friend bool operator==(const answers&, const answers&) = default;
    };

    /// The replicas to ask.
    [[nodiscard]] std::vector<replica> replicas_of(const fleet::primary_change& change) const;
    [[nodiscard]] boost::asio::awaitable<answers> send(std::vector<replica> replicas,
                                                       sessions::server_command command);
    /// The log of an old primary that has stepped down: it has all commits, but is no replica that
    /// acknowledged them. Empty otherwise.
    [[nodiscard]] boost::asio::awaitable<std::vector<fleet::replica_log>>
    ask_old_primary(fleet::primary_change change);

    fleet_state& m_fleet;
    server_queries& m_queries;
    std::function<bool(const server_name&)> m_is_refused;
};

} // namespace oriole::entry

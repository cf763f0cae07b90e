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
    using server_predicate = std::function<bool(const server_name&)>;

    /// `is_refused` tells whether the platform has just refused to promote a server; it counts as
    /// one that does not answer. `has_stepped_down` tells whether a server has given up its role as
    /// primary to this instance, and no other has been promoted since.
    replica_survey(fleet_state& fleet, server_queries& queries, server_predicate is_refused,
                   server_predicate has_stepped_down);

    /// The logs of the candidates and, with synchronous replicas, of all others that may have the
    /// only copy of a commit, preferred ones first.
    [[nodiscard]] boost::asio::awaitable<std::vector<fleet::replica_log>>
    ask(fleet::primary_change change);

    /// As ask(), and stops the replicas that answer from receiving, until a promotion or resume():
    /// a primary that is not lost after all gets no commit acknowledged by them any more. Pauses
    /// none where commits need no replica. A replica that has no such command is asked only; it
    /// refuses the command, or ends two connections on it and then still answers.
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
        std::vector<query_outcome> outcomes; ///< by log
        std::uint64_t highest_term = 0;

        friend bool operator==(const answers&, const answers&) = default;
    };

    /// The replicas to ask.
    [[nodiscard]] std::vector<replica> replicas_of(const fleet::primary_change& change) const;
    [[nodiscard]] boost::asio::awaitable<answers> send(std::vector<replica> replicas,
                                                       sessions::server_command command);
    [[nodiscard]] boost::asio::awaitable<query_result> ask_one(fleet::registered_server server,
                                                               sessions::server_command command);
    /// The log of a replica whose answer to `pause` is missing.
    [[nodiscard]] boost::asio::awaitable<std::optional<machines::log_position>>
    received_after(query_outcome outcome, fleet::registered_server server,
                   sessions::server_command pause);
    /// The log of an old primary that is no primary any more. Empty otherwise.
    [[nodiscard]] boost::asio::awaitable<std::vector<fleet::replica_log>>
    ask_old_primary(fleet::primary_change change);

    fleet_state& m_fleet;
    server_queries& m_queries;
    server_predicate m_is_refused;
    server_predicate m_has_stepped_down;
};

} // namespace oriole::entry

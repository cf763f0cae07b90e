#pragma once

#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "fleet/types/registered_server.h"
#include "routing/server_channel.h"
#include "sessions/types/server_command.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace oriole::entry {

/// What became of a command that returns a status row.
enum class query_outcome {
    answered, ///< the server answered with its status
    refused,  ///< the server answered that it has no such command
    lost,     ///< the connection ended after the command was sent; it may have taken effect
    no_answer ///< not sent, not answered in time, or answered without a status
};

/// A server's reaction to a command that returns a status row.
struct query_result {
    query_outcome outcome = query_outcome::no_answer;
    std::optional<sessions::server_status> status; ///< set if answered

    friend bool operator==(const query_result&, const query_result&) = default;
};

/// Sends commands that return a status row to backend servers, each over a connection of its own,
/// so that the answer does not depend on connections that carry nothing any more. Not thread-safe;
/// runs on the control thread.
class server_queries {
public:
    server_queries(boost::asio::any_io_executor executor, routing::server_connector& connector,
                   decision_log& log);

    /// `step_timeout` limits each step: connecting, sending and receiving. Connects as `account`.
    [[nodiscard]] boost::asio::awaitable<query_result> query(fleet::registered_server server,
                                                             account_name account,
                                                             sessions::server_command command,
                                                             clock::duration step_timeout);

private:
    void log_answer(const server_name& server, const std::optional<sessions::server_status>& status,
                    const std::string& failure);

    boost::asio::any_io_executor m_executor;
    routing::server_connector& m_connector;
    decision_log& m_log;
};

} // namespace oriole::entry

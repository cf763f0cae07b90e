#pragma once

#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "entry/server_channel.h"
#include "fleet/types/registered_server.h"
#include "sessions/types/server_command.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>

namespace oriole::entry {

/// Sends commands that return a status row to backend servers, each over a connection of its own,
/// so that the answer does not depend on connections that carry nothing any more. Not thread-safe;
/// runs on the control thread.
class server_queries {
public:
    server_queries(boost::asio::any_io_executor executor, server_connector& connector,
                   decision_log& log);

    /// `step_timeout` limits each step: connecting, sending and receiving. Connects as `account`.
    /// nullopt when the server did not answer with a status row in time.
    [[nodiscard]] boost::asio::awaitable<std::optional<sessions::server_status>>
    query(fleet::registered_server server, account_name account, sessions::server_command command,
          clock::duration step_timeout);

private:
    boost::asio::any_io_executor m_executor;
    server_connector& m_connector;
    decision_log& m_log;
};

} // namespace oriole::entry

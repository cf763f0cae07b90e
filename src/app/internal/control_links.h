#pragma once

#include "base/clock.h"
#include "links/backend_link.h"
#include "machines/types/backend_server.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>

namespace oriole::app {

/// Connections to the control ports of one database's servers. They are opened on first use and
/// replaced when the server no longer answers. Not thread-safe.
class control_links {
public:
    /// Precondition: `connector` and `time` outlive the object.
    control_links(links::backend_connector& connector, const clock& time);

    void set_servers(const std::vector<machines::backend_server>& servers);

    /// Returns the answer, or nullopt if the call fails or exceeds `timeout`. Precondition: the
    /// object outlives the call.
    [[nodiscard]] boost::asio::awaitable<std::optional<links::backend_result>>
    call(server_name server, links::backend_call call, std::chrono::milliseconds timeout);

    void close();

private:
    struct control_link {
        endpoint address;
        std::shared_ptr<links::backend_link> link;
        int consecutive_failures = 0;
    };

    void count_failure(const server_name& server);

    links::backend_connector& m_connector;
    const clock& m_clock;
    std::map<server_name, control_link> m_links;
};

} // namespace oriole::app

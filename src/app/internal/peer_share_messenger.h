#pragma once

#include "app/internal/share_peers.h"
#include "links/peer_link.h"
#include "machines/types/instance.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace oriole::app {

/// Sends share messages as calls over the peer links. Used on the control thread.
class peer_share_messenger final : public share_peers {
public:
    /// Precondition: `peers` outlives this object and the executor's work.
    peer_share_messenger(boost::asio::any_io_executor executor, links::peer_link& peers);

    /// Sets the possible receivers. Messages to other instances are dropped.
    void set_instances(const std::vector<machines::instance>& instances);

    void send(const instance_id& to, const contracts::share_request& ask) override;

    void send(const instance_id& to, const contracts::share_response& give) override;

    /// Number of messages that the receiver has not answered yet.
    [[nodiscard]] std::size_t unanswered() const noexcept { return m_unanswered; }

private:
    void start_call(const instance_id& to, std::string method, std::string text);
    [[nodiscard]] boost::asio::awaitable<void> call(endpoint peer, std::string method,
                                                    std::string text);

    boost::asio::any_io_executor m_executor;
    links::peer_link& m_peers;
    std::map<instance_id, endpoint> m_endpoints;
    std::size_t m_unanswered = 0;
};

} // namespace oriole::app

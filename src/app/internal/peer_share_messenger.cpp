#include <utility>

#include "app/internal/peer_share_messenger.h"

#include "links/share_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace oriole::app {
namespace {

namespace asio = boost::asio;

/// A lease starts when the request for it is sent, so a later answer would leave little of it.
constexpr std::chrono::milliseconds call_timeout{500};

} // namespace

peer_share_messenger::peer_share_messenger(asio::any_io_executor executor, links::peer_link& peers)
    : m_executor(std::move(executor)), m_peers(peers) {}

void peer_share_messenger::set_instances(const std::vector<machines::instance>& instances) {
    m_endpoints.clear();
    for (const auto& each : instances) {
        m_endpoints.emplace(each.id(), each.peer_endpoint());
    }
}

void peer_share_messenger::send(const instance_id& to, const contracts::share_request& ask) {
    start_call(to, links::share_request_method, links::encode_share_request(ask));
}

void peer_share_messenger::send(const instance_id& to, const contracts::share_response& give) {
    start_call(to, links::share_response_method, links::encode_share_response(give));
}

void peer_share_messenger::start_call(const instance_id& to, std::string method, std::string text) {
    const auto found = m_endpoints.find(to);
    if (found == m_endpoints.end()) {
        return;
    }
    ++m_unanswered;
    asio::co_spawn(m_executor, call(found->second, std::move(method), std::move(text)),
                   asio::detached);
}

asio::awaitable<void> peer_share_messenger::call(endpoint peer, std::string method,
                                                 std::string text) {
    const auto deadline = steady_clock().now() + call_timeout;
    try {
        co_await m_peers.call(std::move(peer), std::move(method), std::move(text), deadline);
    } catch (const error&) {
        // The share agents tolerate lost messages and repeat requests that are still relevant.
        --m_unanswered;
        co_return;
    }
    --m_unanswered;
}

} // namespace oriole::app

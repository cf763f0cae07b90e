#include "replication_puller.h"

#include <boost/asio.hpp>
#include <glog/logging.h>

namespace oriole::standins {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// How long the primary may hold a fetch request while it has no new entries. Bounds the data age
/// that an idle primary reports, because the primary counts each fetch as contact with a replica.
constexpr milliseconds max_fetch_wait{20};

/// After this time without an answer from the primary, the connection is replaced.
constexpr milliseconds answer_timeout{1000};

constexpr milliseconds reconnect_delay{20};

} // namespace

replication_puller::replication_puller(asio::any_io_executor executor, database_server& server,
                                       std::function<void()> on_fetched)
    : m_executor(std::move(executor)), m_server(server), m_on_fetched(std::move(on_fetched)) {}

void replication_puller::update_source() {
    if (m_source == m_server.following()) {
        return;
    }
    m_source = m_server.following();
    if (m_source) {
        LOG(INFO) << "replication starts primary=" << m_source->primary.server
                  << " term=" << m_source->term;
        asio::co_spawn(m_executor, replicate_from(*m_source), asio::detached);
    }
}

bool replication_puller::is_followed(const links::follow_request& source) const {
    return m_server.following() == source;
}

asio::awaitable<void> replication_puller::replicate_from(links::follow_request source) {
    asio::steady_timer retry_timer(m_executor);
    while (is_followed(source)) {
        std::shared_ptr<links::backend_link> link;
        try {
            const auto deadline = steady_clock().now() + answer_timeout;
            link = co_await m_connector->connect(source.primary.control, deadline);
            co_await fetch_entries_over(link, source);
        } catch (const links::link_error& failure) {
            LOG_EVERY_N(WARNING, 50) << "replication interrupted primary=" << source.primary.server
                                     << " reason=\"" << failure.what() << '"';
        }
        if (link) {
            link->close();
        }
        retry_timer.expires_after(reconnect_delay);
        co_await retry_timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void>
replication_puller::fetch_entries_over(std::shared_ptr<links::backend_link> link,
                                       links::follow_request source) {
    while (is_followed(source)) {
        const auto sent_at = steady_clock().now();
        links::backend_call call = m_server.next_fetch(max_fetch_wait);
        auto result = co_await link->call(std::move(call), sent_at + answer_timeout);
        auto* answer = std::get_if<links::fetch_answer>(&result);
        if (answer == nullptr) {
            co_return;
        }
        m_server.handle_fetch_answer(source, std::move(*answer), sent_at, steady_clock().now());
        m_on_fetched();
    }
}

} // namespace oriole::standins

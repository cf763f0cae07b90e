#include <utility>

#include "app/internal/database_report_exchange.h"

#include "app/internal/sleep_for.h"
#include "links/database_report_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace oriole::app {
namespace {

namespace asio = boost::asio;

/// Half the probe interval, so that the results of a probe round are sent before the next one.
constexpr std::chrono::milliseconds send_interval{50};
/// Time-out of a report, after which a newer one is due.
constexpr std::chrono::milliseconds send_timeout{300};

} // namespace

database_report_exchange::database_report_exchange(
    asio::any_io_executor executor, const instance_id& self, links::peer_link& peers,
    links::peer_server& server, database_supervisor& databases,
    std::function<const std::vector<machines::instance>&()> instances)
    : m_executor(std::move(executor)),
      m_peers(peers),
      m_databases(databases),
      m_instances(std::move(instances)),
      m_schedule(machines::make_digest_schedule(self)) {
    server.add_method(links::database_report_method,
                      [this](std::string params) -> asio::awaitable<std::string> {
                          for (const auto& digest : links::decode_database_report(params)) {
                              m_databases.merge_report(digest);
                          }
                          co_return "{}";
                      });
}

asio::awaitable<void> database_report_exchange::run() {
    while (true) {
        send_due();
        co_await sleep_for(send_interval);
    }
}

void database_report_exchange::send_due() {
    const auto& instances = m_instances();
    const auto deliveries = m_schedule->due(m_databases.digests(), instances, steady_clock().now());
    for (const auto& each : instances) {
        const auto found = deliveries.find(each.id());
        if (found == deliveries.end() || !m_sending.insert(each.id()).second) {
            continue;
        }
        auto work =
            send(each.peer_endpoint(), each.id(), links::encode_database_report(found->second));
        asio::co_spawn(m_executor, std::move(work), asio::detached);
    }
}

asio::awaitable<void> database_report_exchange::send(endpoint peer, instance_id receiver,
                                                     std::string report) {
    const auto deadline = steady_clock().now() + send_timeout;
    try {
        co_await m_peers.call(std::move(peer), links::database_report_method, std::move(report),
                              deadline);
    } catch (const error&) {
        // A failed report is not repeated, since the next one replaces it. Whether the peer is
        // still alive is detected by the membership.
        m_sending.erase(receiver);
        co_return;
    }
    m_sending.erase(receiver);
}

} // namespace oriole::app

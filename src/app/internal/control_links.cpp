#include "app/internal/control_links.h"

namespace oriole::app {
namespace {

/// After a network interruption, calls on an existing connection can time out for minutes, until
/// TCP gives up. A new connection works as soon as the network does.
constexpr int failures_before_reconnect = 3;

} // namespace

control_links::control_links(links::backend_connector& connector, const clock& time)
    : m_connector(connector), m_clock(time) {}

void control_links::set_servers(const std::vector<machines::backend_server>& servers) {
    std::map<server_name, control_link> kept;
    for (const auto& server : servers) {
        auto& slot = kept[server.name()];
        slot.address = server.control_endpoint();
        const auto old = m_links.find(server.name());
        if (old != m_links.end() && old->second.address == slot.address) {
            slot.link = old->second.link;
        }
    }
    m_links = std::move(kept);
}

boost::asio::awaitable<std::optional<links::backend_result>>
control_links::call(server_name server, links::backend_call call,
                    std::chrono::milliseconds timeout) {
    const auto found = m_links.find(server);
    if (found == m_links.end()) {
        co_return std::nullopt;
    }
    const auto deadline = m_clock.now() + timeout;
    auto link = found->second.link;
    try {
        if (!link || !link->usable()) {
            auto address = found->second.address;
            link = co_await m_connector.connect(std::move(address), deadline);
            const auto current = m_links.find(server);
            if (current != m_links.end()) {
                current->second.link = link;
            }
        }
        auto result = co_await link->call(std::move(call), deadline);
        const auto current = m_links.find(server);
        if (current != m_links.end()) {
            current->second.consecutive_failures = 0;
        }
        co_return result;
    } catch (const links::link_error&) {
        count_failure(server);
    }
    co_return std::nullopt;
}

void control_links::count_failure(const server_name& server) {
    const auto found = m_links.find(server);
    if (found == m_links.end() ||
        ++found->second.consecutive_failures < failures_before_reconnect) {
        return;
    }
    found->second.consecutive_failures = 0;
    if (found->second.link) {
        found->second.link->close();
        found->second.link.reset();
    }
}

void control_links::close() {
    for (auto& [server, slot] : m_links) {
        if (slot.link) {
            slot.link->close();
        }
    }
}

} // namespace oriole::app

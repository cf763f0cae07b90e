#pragma once

#include "base/clock.h"
#include "links/backend_link.h"
#include "machines/types/backend_server.h"
#include "machines/types/log_position.h"

#include <map>
#include <memory>
#include <vector>

namespace oriole::app {

enum class confirmation_result {
    confirmed,    ///< enough servers hold the log entry and are still at its term
    insufficient, ///< too few servers confirmed in time
    fenced        ///< too few confirmed, and at least one has accepted a higher term
};

/// Asks replicas over their control ports whether they hold a write. Uses one pipelined link per
/// server, opened on first use. Used on one traffic thread.
class replication_confirmer {
public:
    /// Precondition: `connector` outlives this object.
    explicit replication_confirmer(links::backend_connector& connector) : m_connector(connector) {}

    /// Asks all `servers` in parallel. Returns as soon as `needed` of them hold `position`, when
    /// that is no longer possible, or at `deadline`.
    [[nodiscard]] boost::asio::awaitable<confirmation_result>
    confirm(std::vector<machines::backend_server> servers, machines::log_position position,
            std::size_t needed, clock::time_point deadline);

private:
    struct pending_confirmation;

    [[nodiscard]] boost::asio::awaitable<void> ask(machines::backend_server server,
                                                   std::shared_ptr<pending_confirmation> pending);
    [[nodiscard]] boost::asio::awaitable<std::shared_ptr<links::backend_link>>
    link_to(machines::backend_server server, clock::time_point deadline);

    links::backend_connector& m_connector;
    std::map<endpoint, std::shared_ptr<links::backend_link>> m_links;
};

} // namespace oriole::app

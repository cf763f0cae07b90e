#pragma once

#include "app/internal/database_supervisor.h"
#include "links/peer_link.h"
#include "machines/digest_schedule.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace oriole::app {

/// Exchanges reports on the state of databases with the other instances. Used on the control
/// thread.
class database_report_exchange {
public:
    /// Registers the handler for incoming reports at `server`. `instances` returns the live
    /// instances, this one included. Precondition: the references outlive this object and the
    /// executor's work.
    database_report_exchange(boost::asio::any_io_executor executor, const instance_id& self,
                             links::peer_link& peers, links::peer_server& server,
                             database_supervisor& databases,
                             std::function<const std::vector<machines::instance>&()> instances);

    /// Sends due reports at a fixed interval until the executor stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    void send_due();
    [[nodiscard]] boost::asio::awaitable<void> send(endpoint peer, instance_id receiver,
                                                    std::string report);

    boost::asio::any_io_executor m_executor;
    links::peer_link& m_peers;
    database_supervisor& m_databases;
    std::function<const std::vector<machines::instance>&()> m_instances;
    std::unique_ptr<machines::digest_schedule> m_schedule;
    std::set<instance_id> m_sending; ///< receivers that have not answered the last report
};

} // namespace oriole::app

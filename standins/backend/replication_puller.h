#pragma once

#include "database_server.h"
#include "links/backend_link.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace oriole::standins {

/// Fetches log entries from the primary that the server follows. Not thread-safe.
class replication_puller {
public:
    /// `on_fetched` is called after each fetch answer. Precondition: `server` and `on_fetched` stay
    /// valid until all work on `executor` has ended.
    replication_puller(boost::asio::any_io_executor executor, database_server& server,
                       std::function<void()> on_fetched);

    /// Starts replicating when the server follows another primary than before. Replication from the
    /// former primary, which may block for as long as that server is stopped, ends by itself.
    void update_source();

private:
    boost::asio::awaitable<void> replicate_from(links::follow_request source);
    boost::asio::awaitable<void> fetch_entries_over(std::shared_ptr<links::backend_link> link,
                                                    links::follow_request source);
    [[nodiscard]] bool is_followed(const links::follow_request& source) const;

    boost::asio::any_io_executor m_executor;
    database_server& m_server;
    std::function<void()> m_on_fetched;
    std::unique_ptr<links::backend_connector> m_connector = links::make_tcp_backend_connector();
    std::optional<links::follow_request> m_source;
};

} // namespace oriole::standins

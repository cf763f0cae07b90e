#pragma once

#include "app/internal/site_context.h"
#include "base/clock.h"
#include "machines/types/database_view.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace oriole::app {

/// A traffic thread's copy of the control state: the current site, the view of each database, and
/// when the configuration was last confirmed. Used on that thread only; the control thread posts
/// updates to it.
class traffic_state {
public:
    explicit traffic_state(boost::asio::any_io_executor executor)
        : m_executor(std::move(executor)) {}

    /// Ignores a generation that is not higher than the current one, so that a delayed message
    /// cannot restore an older configuration.
    void replace_site(std::shared_ptr<const site_context> next);

    void update_view(std::shared_ptr<const machines::database_view> view);

    void set_config_confirmed_at(clock::time_point time) { m_config_confirmed_at = time; }

    /// Null until the first configuration has arrived.
    [[nodiscard]] const std::shared_ptr<const site_context>& site() const noexcept {
        return m_site;
    }

    /// An empty view when no view of the database has been received yet.
    [[nodiscard]] const machines::database_view& view(const database_name& database) const;

    /// Last time at which the platform is known to have confirmed the current generation.
    [[nodiscard]] clock::time_point config_confirmed_at() const noexcept {
        return m_config_confirmed_at;
    }

    /// Waits until a view of the database with a term above `term` arrives, or until `limit` has
    /// elapsed.
    [[nodiscard]] boost::asio::awaitable<void> wait_for_newer_term(database_name database,
                                                                   std::uint64_t term,
                                                                   std::chrono::milliseconds limit);

    /// Waits while a planned switchover holds back the database's writes, at most until
    /// `deadline`.
    [[nodiscard]] boost::asio::awaitable<void> wait_while_writes_held(database_name database,
                                                                      clock::time_point deadline);

private:
    [[nodiscard]] boost::asio::awaitable<void> wait_for_change(database_name database,
                                                               std::chrono::milliseconds limit);

    boost::asio::any_io_executor m_executor;
    std::shared_ptr<const site_context> m_site;
    std::map<database_name, std::shared_ptr<const machines::database_view>> m_views;
    std::map<database_name, std::set<boost::asio::steady_timer*>> m_waiters;
    clock::time_point m_config_confirmed_at;
};

} // namespace oriole::app

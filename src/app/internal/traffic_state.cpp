#include <utility>

#include "app/internal/traffic_state.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::app {

void traffic_state::replace_site(std::shared_ptr<const site_context> next) {
    if (m_site && next->generation <= m_site->generation) {
        return;
    }
    m_site = std::move(next);
}

void traffic_state::update_view(std::shared_ptr<const machines::database_view> view) {
    const database_name name = view->database;
    auto& slot = m_views[name];
    const bool newer_term = !slot || slot->term < view->term;
    const bool writes_released = slot && slot->writes_held && !view->writes_held;
    slot = std::move(view);
    if (!newer_term && !writes_released) {
        return;
    }
    for (auto* timer : m_waiters[name]) {
        timer->cancel();
    }
}

const machines::database_view& traffic_state::view(const database_name& database) const {
    static const machines::database_view empty_view;
    const auto found = m_views.find(database);
    return found == m_views.end() ? empty_view : *found->second;
}

boost::asio::awaitable<void> traffic_state::wait_for_newer_term(database_name database,
                                                                std::uint64_t term,
                                                                std::chrono::milliseconds limit) {
    if (view(database).term > term) {
        co_return;
    }
    co_await wait_for_change(std::move(database), limit);
}

boost::asio::awaitable<void> traffic_state::wait_while_writes_held(database_name database,
                                                                   clock::time_point deadline) {
    while (view(database).writes_held && steady_clock().now() < deadline) {
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(deadline - steady_clock().now());
        co_await wait_for_change(database, left);
    }
}

boost::asio::awaitable<void> traffic_state::wait_for_change(database_name database,
                                                            std::chrono::milliseconds limit) {
    boost::asio::steady_timer timer(m_executor, limit);
    m_waiters[database].insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    m_waiters[database].erase(&timer);
}

} // namespace oriole::app

#include <utility>

#include "app/internal/sleep_for.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::app {

boost::asio::awaitable<void> sleep_for(std::chrono::milliseconds time) {
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace oriole::app

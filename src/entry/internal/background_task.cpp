#include <utility>

#include "entry/internal/background_task.h"

#include "entry/internal/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Pause before a task that failed is started again. It bounds the log lines of one that fails at
/// once each time.
constexpr clock::duration restart_pause = 500ms;

void log_failure(decision_log& log, const std::string& name, const std::string& reason) {
    log.write(log_entry("task").add("name", name).add("outcome", "failed").add("reason", reason));
}

/// Returns whether the task returned; logs the exception otherwise.
asio::awaitable<bool> try_task(decision_log& log, const std::string& name, const task& work) {
    try {
        co_await work();
        co_return true;
    } catch (const std::exception& unexpected) {
        log_failure(log, name, unexpected.what());
    }
    co_return false;
}

asio::awaitable<void> keep_running(asio::any_io_executor executor, decision_log& log,
                                   std::string name, task work) {
    bool ended = co_await try_task(log, name, work);
    while (!ended) {
        co_await pause(executor, restart_pause);
        ended = co_await try_task(log, name, work);
    }
}

} // namespace

void run_task(const asio::any_io_executor& executor, decision_log& log, std::string name,
              task work) {
    asio::co_spawn(executor, keep_running(executor, log, std::move(name), std::move(work)),
                   asio::detached);
}

void run_event_loop(asio::io_context& io, decision_log& log, const std::string& name) {
    bool stopped = false;
    while (!stopped) {
        try {
            io.run();
            stopped = true;
        } catch (const std::exception& unexpected) {
            log_failure(log, name, unexpected.what());
        }
    }
}

} // namespace oriole::entry

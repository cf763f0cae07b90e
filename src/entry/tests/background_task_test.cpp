#include <utility>

#include "recording_log.h"

#include "entry/internal/background_task.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>
#include <vector>

namespace oriole::entry {
namespace {

class background_task_test : public testing::Test {
protected:
    boost::asio::io_context m_io;
    recording_log m_log;
};

// Guards against a process that goes on without one of its tasks after an unexpected error.
TEST_F(background_task_test, task_that_fails_is_logged_and_started_again) {
    int runs = 0;
    run_task(m_io.get_executor(), m_log, "reports", [&runs]() -> boost::asio::awaitable<void> {
        ++runs;
        if (runs == 1) {
            throw std::runtime_error("planted");
        }
        co_return;
    });
    m_io.run();
    EXPECT_EQ(runs, 2);
    EXPECT_EQ(m_log.lines(),
              std::vector<std::string>{"event=task name=reports outcome=failed reason=planted"});
}

// Guards against an unexpected error of one handler that ends the thread, and so the process.
TEST_F(background_task_test, event_loop_runs_on_after_a_handler_fails) {
    bool later_ran = false;
    boost::asio::post(m_io, [] { throw std::runtime_error("planted"); });
    boost::asio::post(m_io, [&later_ran] { later_ran = true; });
    run_event_loop(m_io, m_log, "traffic_thread");
    EXPECT_TRUE(later_ran);
    EXPECT_EQ(m_log.lines().size(), 1U);
}

} // namespace
} // namespace oriole::entry

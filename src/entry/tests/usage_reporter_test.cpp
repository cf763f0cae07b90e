#include <utility>

#include "entry/internal/usage_reporter.h"

#include "entry/fleet_store.h"
#include "entry/tests/recording_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// A store whose next answer may be lost after the order was stored.
class fake_orders final : public usage::usage_order_store {
public:
    asio::awaitable<usage::usage_order> newest() override { co_return stored; }

    asio::awaitable<std::optional<usage::usage_order>> record(usage::usage_order order) override {
        if (order.revision != stored.revision) {
            co_return std::nullopt;
        }
        ++order.revision.number;
        order.fence = order.revision.number;
        stored = order;
        if (std::exchange(lose_answer, false)) {
            throw store_timeout("no answer");
        }
        co_return order;
    }

    usage::usage_order stored{{}, {}, 0, {1, 1}};
    bool lose_answer = false;
};

class fake_authority final : public usage::usage_authority {
public:
    asio::awaitable<usage::usage_result> send(usage::usage_order order) override {
        sent.push_back(order);
        if (std::exchange(lose_answer, false)) {
            throw store_timeout("no answer");
        }
        co_return result;
    }

    std::vector<usage::usage_order> sent;
    bool lose_answer = false;
    usage::usage_result result = usage::usage_result::accepted;
};

/// A single instance whose window 7 has ended three seconds ago. Each gathering finds one operation
/// more than the one before.
class usage_reporter_test : public testing::Test, protected usage_sources {
protected:
    usage_reporter_test() {
        m_since_end = -1s;
        static_cast<void>(m_duty.next(situation()));
        m_since_end = 3s;
    }

    [[nodiscard]] usage::report_situation situation() const override {
        const auto end = usage::window_end(7, m_settings.window);
        return {clock::time_point(100h + m_since_end), end + m_since_end, {instance_id("own")}};
    }

    asio::awaitable<usage::gathered_counts> gather(std::int64_t) override {
        ++m_gathered;
        co_return usage::gathered_counts{usage::gather_status::complete,
                                         {{account_name("t"), m_gathered}}};
    }

    void announce_order() override { ++m_announced; }

    void run_due_steps() {
        asio::co_spawn(
            m_io, [this] { return m_reporter.run_due_steps(); },
            [](const std::exception_ptr& failure) { EXPECT_FALSE(failure); });
        m_io.restart();
        m_io.run();
    }

    const usage::usage_settings m_settings{5s, 10s, 3s};
    clock::duration m_since_end{};
    std::uint64_t m_gathered = 0;
    int m_announced = 0;
    asio::io_context m_io;
    recording_log m_log;
    metric_registry m_metrics;
    fake_orders m_orders;
    fake_authority m_authority;
    usage::report_duty m_duty{instance_id("own"), m_settings};
    usage_reporter m_reporter{m_io.get_executor(), m_duty, *this,    m_orders,
                              m_authority,         m_log,  m_metrics};
};

// Guards against a window that is recorded but never sent or announced.
TEST_F(usage_reporter_test, due_window_is_recorded_sent_announced_and_logged) {
    run_due_steps();
    ASSERT_EQ(m_authority.sent.size(), 1U);
    EXPECT_EQ(m_authority.sent.front(), m_orders.stored);
    EXPECT_EQ(m_announced, 1);
    EXPECT_NE(m_log.lines().back().find("event=usage_window window=7 outcome=reported"),
              std::string::npos);
    EXPECT_EQ(m_metrics.get("oriole_usage_windows_reported_total").value(), 1);
}

// Guards against a report with other counts under the order whose answer was lost.
TEST_F(usage_reporter_test, lost_answer_of_the_store_leads_to_the_recorded_counts) {
    m_orders.lose_answer = true;
    run_due_steps();
    EXPECT_TRUE(m_authority.sent.empty());
    m_since_end = 4s;
    run_due_steps();
    ASSERT_EQ(m_authority.sent.size(), 1U);
    EXPECT_EQ(m_authority.sent.front().report.counts,
              (usage::account_counts{{account_name("t"), 1}}));
}

// Guards against a repeat that differs from what the platform may have accepted.
TEST_F(usage_reporter_test, lost_answer_of_the_platform_leads_to_an_exact_repeat) {
    m_authority.lose_answer = true;
    run_due_steps();
    m_since_end = 4s;
    run_due_steps();
    ASSERT_EQ(m_authority.sent.size(), 2U);
    EXPECT_EQ(m_authority.sent[0], m_authority.sent[1]);
}

// Guards against calls under a token that the platform has refused.
TEST_F(usage_reporter_test, refused_report_is_missed_and_not_sent_again) {
    m_authority.result = usage::usage_result::refused;
    run_due_steps();
    m_since_end = 4s;
    run_due_steps();
    EXPECT_EQ(m_authority.sent.size(), 1U);
    EXPECT_EQ(m_metrics.get("oriole_usage_windows_missed_total").value(), 1);
}

} // namespace
} // namespace oriole::entry

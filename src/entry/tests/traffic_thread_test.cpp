#include "fake_caller.h"
#include "recording_log.h"
#include "routing/tests/fake_servers.h"

#include "entry/internal/traffic_thread.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <future>
#include <utility>

namespace oriole::entry {
namespace {

using routing::fake_listed;
using routing::fake_servers;

using namespace std::chrono_literals;
using sessions::answer_code;

/// Longer than the interval in which a stop looks for sessions.
constexpr clock::duration work_time = 200ms;

/// Accepts one caller in the turn of the event loop in which it is stopped. A socket's listener
/// does so when a connection's acceptance is already queued while the listener is closed.
class accepting_when_stopped final : public caller_listener {
public:
    accepting_when_stopped(boost::asio::any_io_executor executor,
                           std::shared_ptr<caller_channel> caller)
        : m_executor(std::move(executor)), m_caller(std::move(caller)) {}

    void start(handler on_caller) override { m_on_caller = std::move(on_caller); }

    void stop() override {
        if (auto caller = std::exchange(m_caller, nullptr)) {
            boost::asio::post(m_executor, [on_caller = m_on_caller, moved = std::move(caller)] {
                on_caller(moved);
            });
        }
    }

private:
    boost::asio::any_io_executor m_executor;
    std::shared_ptr<caller_channel> m_caller;
    handler m_on_caller;
};

/// A platform with fake servers and one caller. It has no store and no promotion service, which the
/// traffic thread does not use.
class fake_platform final : public entry_platform {
public:
    [[nodiscard]] routing::server_connector& connector() override { return servers; }

    [[nodiscard]] std::unique_ptr<caller_listener>
    make_listener(boost::asio::any_io_executor executor, const endpoint&) override {
        return std::make_unique<accepting_when_stopped>(std::move(executor), caller);
    }

    [[nodiscard]] std::unique_ptr<fleet_store> make_store(boost::asio::any_io_executor) override {
        return nullptr;
    }

    [[nodiscard]] std::unique_ptr<promotion_authority>
    make_authority(boost::asio::any_io_executor) override {
        return nullptr;
    }

    [[nodiscard]] std::unique_ptr<usage::usage_authority>
    make_usage_authority(boost::asio::any_io_executor) override {
        return nullptr;
    }

    fake_servers servers;
    std::shared_ptr<fake_caller> caller = std::make_shared<fake_caller>();
};

class traffic_thread_test : public testing::Test {
protected:
    traffic_thread_test() {
        auto& primary = m_platform.servers.at("primary");
        primary.primary = true;
        primary.answer_delay = work_time;
        sessions::statement read;
        read.id = "1";
        read.kind = sessions::statement_kind::read;
        read.text = "READ a";
        m_platform.caller->statements = {read};
    }

    static entry_settings make_settings() {
        entry_settings settings;
        settings.gateway = endpoint("127.0.0.1", 0);
        settings.usage = usage::usage_settings{5s, 10s, 3s};
        return settings;
    }

    static std::shared_ptr<const fleet::fleet_view> make_view() {
        auto config = std::make_shared<fleet::configuration>();
        auto& route = config->routes["newest"];
        route.service = service_name("db");
        route.open_to_all = true;
        route.policy = fleet::read_policy::newest;
        route.latency_target = 10s;
        route.statement_timeout = 10s;
        fleet::usable_server primary;
        primary.listed = fake_listed("primary", "zone");
        primary.primary = true;
        primary.connections = {2, 2};
        auto view = std::make_shared<fleet::fleet_view>();
        view->config = config;
        view->accounts_by_key =
            std::make_shared<fleet::key_index>(fleet::key_index{{"key", account_name("t")}});
        view->shares[account_name("t")] = {1000, 1000};
        view->servers[service_name("db")] = {primary};
        return view;
    }

    /// Stops the thread. Returns the answers that the caller had got when the stop ended.
    [[nodiscard]] std::vector<answer_code> answers_at_the_end_of_a_stop() {
        m_thread.apply(make_view());
        m_thread.start();
        m_thread.leave([this] { m_codes_at_end.set_value(m_platform.caller->codes); });
        return m_codes_at_end.get_future().get();
    }

    fake_platform m_platform;
    recording_log m_log;
    metric_registry m_metrics;
    std::promise<std::vector<answer_code>> m_codes_at_end;
    std::uint64_t m_counted = 0; ///< written by the traffic thread
    traffic_thread m_thread{make_settings(), m_platform, m_log, m_metrics,
                            [this](const traffic_report& report) {
                                for (const auto& runs : report.runs) {
                                    EXPECT_EQ(runs.account, account_name("t"));
                                    m_counted += runs.count;
                                }
                            }};
};

// Guards against a statement that is cut off because its connection was accepted while a stop,
// which saw no session, closed the listener.
TEST_F(traffic_thread_test, stop_waits_for_a_session_that_starts_while_the_listener_is_closed) {
    EXPECT_EQ(answers_at_the_end_of_a_stop(), std::vector{answer_code::ok});
}

// Guards against usage reports without the operations that an instance ran just before it stopped,
// and against counts that never reach the control thread.
TEST_F(traffic_thread_test, operations_before_the_end_of_a_stop_are_reported) {
    static_cast<void>(answers_at_the_end_of_a_stop());
    EXPECT_EQ(m_counted, 1U);
}

} // namespace
} // namespace oriole::entry

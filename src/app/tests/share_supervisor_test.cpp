#include "app/internal/share_supervisor.h"

#include "contracts/contracts_module.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace oriole::app {
namespace {

using contracts::share_purpose;

class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return m_now; }

    void advance(duration length) { m_now += length; }

private:
    time_point m_now{std::chrono::hours(1)};
};

class memory_store final : public share_ledger_store {
public:
    void read(read_handler handler) override { m_reads.push_back(std::move(handler)); }

    void write(const contracts::share_ledger_write& write, write_handler handler) override {
        m_written.push_back(write);
        m_writes.push_back(std::move(handler));
    }

    std::vector<read_handler> m_reads;
    std::vector<contracts::share_ledger_write> m_written;
    std::vector<write_handler> m_writes;
};

class recording_peers final : public share_peers {
public:
    void send(const instance_id&, const contracts::share_request& ask) override {
        m_asks.push_back(ask);
    }

    void send(const instance_id&, const contracts::share_response& give) override {
        m_gives.push_back(give);
    }

    std::vector<contracts::share_request> m_asks;
    std::vector<contracts::share_response> m_gives;
};

class deferring_publisher final : public share_publisher {
public:
    void publish(const contracts::thread_shares& slices,
                 std::function<void()> on_applied) override {
        m_published.push_back(slices);
        m_pending_callbacks.push_back(std::move(on_applied));
    }

    /// Simulates that all threads have applied the published slices.
    void apply() {
        while (!m_pending_callbacks.empty()) {
            auto next = std::move(m_pending_callbacks.front());
            m_pending_callbacks.erase(m_pending_callbacks.begin());
            next();
        }
    }

    std::vector<contracts::thread_shares> m_published;
    std::vector<std::function<void()>> m_pending_callbacks;
};

class share_supervisor_test : public testing::Test {
protected:
    void SetUp() override {
        const contracts::share_ledger empty(2, 2, contracts::loan_half);
        m_supervisor = std::make_unique<share_supervisor>(
            contracts::contracts_module::make_share_agent(m_self, m_zone, empty),
            contracts::contracts_module::make_share_divider(1),
            share_supervisor::ports{m_store, m_peers, m_publisher, m_clock});
        m_supervisor->set_rates({{m_account, {rate_name{"r"}, 100, 100}}});
        m_supervisor->set_view({{m_peer}, {{m_zone, m_peer}}});
    }

    void tick() {
        m_supervisor->tick();
        m_publisher.apply();
    }

    /// Joins the zone: the peer, which is the coordinator, confirms a floor and loans.
    void hold_shares() {
        tick();
        contracts::share_response give;
        give.responder = m_peer;
        give.zone = m_zone;
        give.purpose = share_purpose::renew;
        give.sequence = m_peers.m_asks.back().sequence;
        give.floor = 1000;
        give.next_round = std::chrono::seconds(5);
        give.grants = {{m_account, 50'000, 50'000}};
        m_supervisor->on_share_response(give);
        m_publisher.apply();
    }

    [[nodiscard]] contracts::share_request trade_ask() const {
        return {m_peer, m_zone, share_purpose::sublease, 7, 0, {{m_account, 0, 20'000}}};
    }

    [[nodiscard]] contracts::share_parts last_published() const {
        return m_publisher.m_published.back()[0].at(m_account).parts(m_clock.now());
    }

    instance_id m_self{"self"};
    instance_id m_peer{"peer"};
    zone_name m_zone{"a"};
    account_name m_account{"account"};
    manual_clock m_clock;
    memory_store m_store;
    recording_peers m_peers;
    deferring_publisher m_publisher;
    std::unique_ptr<share_supervisor> m_supervisor;
};

// Guards against handing over a share while a traffic thread still uses it.
TEST_F(share_supervisor_test, response_is_sent_after_all_threads_apply_the_reduction) {
    hold_shares();
    EXPECT_EQ(last_published(), 51'000);
    m_supervisor->on_share_request(trade_ask());
    EXPECT_EQ(last_published(), 31'000);
    EXPECT_TRUE(m_peers.m_gives.empty());
    m_publisher.apply();
    ASSERT_EQ(m_peers.m_gives.size(), 1U);
    EXPECT_EQ(m_peers.m_gives[0].grants[0].parts, 20'000);
}

// Guards against handing out shares twice when a request is repeated.
TEST_F(share_supervisor_test, repeated_request_gets_the_same_response) {
    hold_shares();
    m_supervisor->on_share_request(trade_ask());
    m_supervisor->on_share_request(trade_ask());
    m_publisher.apply();
    ASSERT_EQ(m_peers.m_gives.size(), 2U);
    EXPECT_EQ(m_peers.m_gives[0], m_peers.m_gives[1]);
    EXPECT_EQ(last_published(), 31'000);
}

// Guards against a delayed answer to an earlier renewal that changes the loans held since.
TEST_F(share_supervisor_test, late_confirmation_is_ignored) {
    hold_shares();
    contracts::share_response late;
    late.responder = m_peer;
    late.sequence = m_peers.m_asks.back().sequence;
    late.grants = {{m_account, 400'000, 400'000}};
    m_clock.advance(std::chrono::seconds(5));
    tick();
    m_supervisor->on_share_response(late);
    m_publisher.apply();
    EXPECT_EQ(last_published(), 51'000);
}

// Guards against assuming the outcome of a ledger write whose answer was lost. The ledger must be
// read again first.
TEST_F(share_supervisor_test, unknown_write_is_followed_by_a_read) {
    m_supervisor->set_view({{}, {{m_zone, m_self}}});
    tick();
    ASSERT_EQ(m_store.m_reads.size(), 1U);
    m_store.m_reads[0](share_ledger_store::versioned_ledger{});
    m_clock.advance(std::chrono::seconds(1));
    tick();
    ASSERT_EQ(m_store.m_writes.size(), 1U);
    m_store.m_writes[0](contracts::ledger_write_result::unknown, 0);
    m_publisher.apply();
    EXPECT_EQ(last_published(), 0);
    m_clock.advance(std::chrono::seconds(1));
    tick();
    ASSERT_EQ(m_store.m_reads.size(), 2U);
    // The write took effect although its answer was lost. The next write must expect the version
    // that was read.
    m_store.m_reads[1](share_ledger_store::versioned_ledger{m_store.m_written[0].ledger, 1});
    m_clock.advance(std::chrono::seconds(6));
    tick();
    EXPECT_EQ(m_store.m_written.back().expected_version, 1U);
}

// Guards against a graceful shutdown that keeps shares, and against using shares after they are
// returned.
TEST_F(share_supervisor_test, leaving_returns_shares_after_threads_have_stopped) {
    hold_shares();
    bool has_left = false;
    m_supervisor->leave([&] { has_left = true; });
    EXPECT_FALSE(has_left);
    m_publisher.apply();
    EXPECT_TRUE(has_left);
    EXPECT_EQ(last_published(), 0);
    EXPECT_EQ(m_peers.m_asks.back().purpose, share_purpose::leave);
}

// Guards against use after free when the platform answers after the supervisor was destroyed.
TEST_F(share_supervisor_test, late_answer_after_destruction_is_dropped) {
    m_supervisor->set_view({{}, {{m_zone, m_self}}});
    tick();
    ASSERT_EQ(m_store.m_reads.size(), 1U);
    m_supervisor.reset();
    const auto published = m_publisher.m_published.size();
    m_store.m_reads[0](std::nullopt);
    EXPECT_EQ(m_publisher.m_published.size(), published);
}

} // namespace
} // namespace oriole::app

#include <utility>

#include "app/internal/instance_shares.h"

#include "links/share_codec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <stdexcept>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using contracts::ledger_write_result;

/// A platform that keeps its objects in memory and can be made unreachable.
class memory_platform final : public links::platform_link {
public:
    asio::awaitable<std::optional<links::stored_object>> get(std::string path) override {
        check_reachable();
        const auto found = m_objects.find(path);
        if (found == m_objects.end()) {
            co_return std::nullopt;
        }
        co_return found->second;
    }

    asio::awaitable<std::uint64_t> put(std::string path, std::string value,
                                       std::uint64_t expected_version, std::string) override {
        check_reachable();
        const auto found = m_objects.find(path);
        if ((found == m_objects.end() ? 0 : found->second.version) != expected_version) {
            throw links::version_conflict("stored object does not have the expected version");
        }
        auto& object = m_objects[path];
        object = {std::move(value), expected_version + 1};
        co_return object.version;
    }

    asio::awaitable<std::vector<links::object_change>> list(std::string) override {
        throw links::platform_unreachable("fake platform does not implement list");
    }

    asio::awaitable<links::watch_result> watch(std::string, std::uint64_t,
                                               std::chrono::milliseconds) override {
        throw links::platform_unreachable("fake platform does not implement watch");
    }

    asio::awaitable<void> announce(machines::instance) override { co_return; }

    asio::awaitable<void> withdraw(instance_id) override { co_return; }

    asio::awaitable<std::vector<machines::instance>> instances() override {
        co_return std::vector<machines::instance>{};
    }

    bool m_is_reachable = true;
    std::map<std::string, links::stored_object> m_objects;

private:
    void check_reachable() const {
        if (!m_is_reachable) {
            throw links::platform_unreachable("fake platform is unreachable");
        }
    }
};

class null_reports final : public control_reports {
public:
    void newer_term_seen(const database_name&, std::uint64_t) override {}

    void requests_counted(std::size_t, traffic_counts) override {}
};

class null_peer_server final : public links::peer_server {
public:
    void add_method(const std::string&, handler) override {}

    [[nodiscard]] endpoint address() const override { return {}; }

    void stop() override {}
};

class instance_shares_test : public testing::Test {
protected:
    void SetUp() override {
        m_traffic.start();
        m_site = site::site_objects::builder()
                     .add(zones::availability_zone(m_zone, region_name{"r"}, service_state::in))
                     .add(contracts::rate(rate_name{"r"}, 100, 100))
                     .add(contracts::client_account(account_name{"x"}, rate_name{"r"}, 1))
                     .build();
    }

    /// Throws, which fails the test, if the io_context runs out of work. ctest limits the time.
    template <class Condition>
    void run_until(Condition condition) {
        m_io.restart();
        while (!condition()) {
            if (m_io.run_one() == 0) {
                throw std::logic_error("io_context ran out of work before the condition was met");
            }
        }
    }

    zone_name m_zone{"a"};
    machines::instance m_self =
        machines::instance::builder().id(instance_id{"i1"}).zone(m_zone).build();
    asio::io_context m_io{1};
    memory_platform m_platform;
    null_reports m_reports;
    null_peer_server m_server;
    metric_registry m_metrics;
    std::unique_ptr<random_source> m_random = make_random_source(1);
    std::unique_ptr<links::backend_connector> m_connector = links::make_tcp_backend_connector();
    std::unique_ptr<links::peer_link> m_peers =
        links::make_peer_link(m_io.get_executor(), {"a secret of the test"});
    traffic_control m_traffic{m_self.id(), m_zone, 2, *m_connector, m_metrics, m_reports};
    site::site_objects m_site;
};

// Guards against an instance that divides the rates by its own setting or by the zones of its site
// although a share plan is stored. The shares in all ledgers could then exceed an account's rate.
TEST_F(instance_shares_test, stored_plan_takes_precedence_over_own_setting) {
    const contracts::share_plan plan(3, {m_zone, zone_name{"b"}});
    m_platform.m_objects["share-plan"] = {links::encode_share_plan(plan), 1};
    instance_shares shares(
        {m_io.get_executor(), m_platform, *m_peers, m_server, *m_random, m_traffic}, m_self, 2, 9);
    EXPECT_TRUE(shares.is_ready()) << "without accounts there is nothing to wait for";
    shares.set_instances({m_self});
    shares.set_site(m_site);
    EXPECT_FALSE(shares.is_ready());
    asio::co_spawn(m_io, shares.run(), asio::detached);
    run_until([&] { return m_platform.m_objects.contains("shares/a"); });
    const auto ledger = links::decode_share_ledger(m_platform.m_objects["shares/a"].value);
    EXPECT_EQ(ledger.slots(), 3U);
    EXPECT_EQ(ledger.fleet_slots(), 6U);
    EXPECT_EQ(ledger.initial_loan(), contracts::loan_half / 2);
    EXPECT_TRUE(ledger.holders().contains(m_self.id()));
    bool has_left = false;
    asio::co_spawn(
        m_io,
        [&]() -> asio::awaitable<void> {
            co_await shares.leave();
            has_left = true;
        },
        asio::detached);
    run_until([&] { return has_left; });
    const auto after = links::decode_share_ledger(m_platform.m_objects["shares/a"].value);
    EXPECT_FALSE(after.holders().contains(m_self.id()));
}

// Guards against treating a platform outage or a damaged ledger as a valid answer, and against a
// version conflict that is not reported.
TEST_F(instance_shares_test, store_distinguishes_outage_conflict_and_damage) {
    platform_share_ledger store(m_io.get_executor(), m_platform, *m_random, m_zone);
    const contracts::share_ledger ledger(1, 1, 5);
    const auto write = [&](std::uint64_t expected) {
        std::optional<ledger_write_result> result;
        store.write({expected, ledger}, [&](ledger_write_result r, std::uint64_t) { result = r; });
        run_until([&] { return result.has_value(); });
        return *result;
    };
    const auto read = [&] {
        std::optional<std::optional<share_ledger_store::versioned_ledger>> result;
        store.read([&](auto r) { result = std::move(r); });
        run_until([&] { return result.has_value(); });
        return *result;
    };
    EXPECT_EQ(read(), share_ledger_store::versioned_ledger{});
    EXPECT_EQ(write(0), ledger_write_result::stored);
    EXPECT_EQ(write(0), ledger_write_result::conflict);
    EXPECT_EQ(read(), (share_ledger_store::versioned_ledger{ledger, 1}));
    m_platform.m_is_reachable = false;
    EXPECT_EQ(write(1), ledger_write_result::unknown);
    EXPECT_EQ(read(), std::nullopt);
    m_platform.m_is_reachable = true;
    m_platform.m_objects["shares/a"].value = "{}";
    EXPECT_EQ(read(), std::nullopt);
}

// Guards against reporting reduced shares as applied while a traffic thread still uses the old
// ones.
TEST_F(instance_shares_test, slices_are_reported_applied_after_all_threads_apply_them) {
    thread_share_publisher publisher(m_io.get_executor(), m_traffic);
    int applied_count = 0;
    const auto keep = asio::make_work_guard(m_io);
    publisher.publish({{}, {}}, [&] { ++applied_count; });
    EXPECT_EQ(applied_count, 0) << "on_applied must not run within publish";
    run_until([&] { return applied_count > 0; });
    EXPECT_EQ(applied_count, 1);
    m_traffic.stop();
    publisher.publish({{}, {}}, [&] { ++applied_count; });
    m_io.poll();
    EXPECT_EQ(applied_count, 1) << "a thread that is not running has applied nothing";
}

} // namespace
} // namespace oriole::app

#include <utility>

#include "entry/internal/usage_collector.h"

#include "entry/tests/recording_log.h"
#include "usage/wall_clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <set>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Carries calls between the instances of a test, except to the ports that are cut off.
struct fake_network {
    std::map<std::uint16_t, std::map<std::string, links::peer_server::handler>> methods;
    std::set<std::uint16_t> cut_off;
};

class fake_link final : public links::peer_link {
public:
    explicit fake_link(fake_network& network) : m_network(network) {}

    asio::awaitable<std::string> call(endpoint peer, std::string method, std::string params,
                                      clock::time_point) override {
        if (m_network.cut_off.contains(peer.port())) {
            throw links::link_error("cut off", false);
        }
        co_return co_await m_network.methods.at(peer.port()).at(method)(std::move(params));
    }

    [[nodiscard]] std::size_t bytes() const noexcept override { return 0; }

private:
    fake_network& m_network;
};

class fake_server final : public links::peer_server {
public:
    fake_server(fake_network& network, endpoint address)
        : m_network(network), m_address(std::move(address)) {}

    void add_method(const std::string& name, handler handle) override {
        m_network.methods[m_address.port()][name] = std::move(handle);
    }

    [[nodiscard]] endpoint address() const override { return m_address; }

    void stop() override {}

private:
    fake_network& m_network;
    endpoint m_address;
};

/// Two zones of five instances each.
class usage_collector_test : public testing::Test {
protected:
    struct modelled_instance {
        modelled_instance(usage_collector_test& test, const fleet::registered_instance& self)
            : own(self),
              fleet(own, test.m_log),
              link(test.m_network),
              server(test.m_network, own.peer_address),
              time(own.id, usage::system_wall_clock()),
              duty(own.id, test.m_settings),
              collector(test.m_io.get_executor(), test.m_settings, own, fleet, link, server, time,
                        duty) {}

        fleet::registered_instance own;
        fleet_state fleet;
        fake_link link;
        fake_server server;
        usage_time time;
        usage::report_duty duty;
        usage_collector collector;
    };

    usage_collector_test() {
        store_page<fleet::registered_instance> page;
        for (std::uint16_t port = 1; port <= 10; ++port) {
            fleet::registered_instance instance;
            instance.id = instance_id("i" + std::to_string(port));
            instance.zone = zone_name(port <= 5 ? "zone-a" : "zone-b");
            instance.peer_address = endpoint("10.0.0.1", port);
            instance.incarnation = port;
            page.objects.push_back({instance.id.str(), {1, port}, false, instance});
        }
        for (const auto& object : page.objects) {
            m_instances.push_back(std::make_unique<modelled_instance>(*this, *object.value));
            auto& added = *m_instances.back();
            added.fleet.update_instances(page, steady_clock().now());
            establish_time(added.time);
        }
    }

    static void establish_time(usage_time& time) {
        const auto now = boot_clock().now();
        for (const auto* peer : {"x", "y"}) {
            time.record_wall_time(instance_id(peer), usage::system_wall_clock().now(), now, now);
        }
        time.advance();
    }

    /// Lets each instance count one operation now and deliver it. Returns the window.
    std::int64_t count_everywhere() {
        const auto began = boot_clock().now();
        for (const auto& instance : m_instances) {
            instance->collector.add_runs({{began, m_account, 1}});
            instance->collector.deliver_all();
        }
        m_io.poll();
        return usage::window_at(*m_instances[0]->time.clock().at(began), m_settings.window);
    }

    /// An instance that collects in zone-a.
    modelled_instance& collecting_instance() {
        const auto collectors = m_instances[0]->fleet.usage_collectors().at(zone_name("zone-a"));
        return *m_instances.at(collectors.front().peer_address.port() - 1U);
    }

    usage::gathered_counts gather(std::int64_t window) {
        usage::gathered_counts result;
        asio::co_spawn(m_io, collecting_instance().collector.gather(window),
                       [&result](const std::exception_ptr& failure, usage::gathered_counts counts) {
                           EXPECT_FALSE(failure);
                           result = std::move(counts);
                       });
        m_io.restart();
        m_io.poll();
        return result;
    }

    /// A window is long, so that no test meets its end.
    const usage::usage_settings m_settings{24h * 365, 24h * 365, 3s};
    const account_name m_account{"t"};
    recording_log m_log;
    asio::io_context m_io;
    fake_network m_network;
    std::vector<std::unique_ptr<modelled_instance>> m_instances;
};

// Guards against counts that are lost or counted twice on the way to the reporter.
TEST_F(usage_collector_test, each_operation_is_gathered_once) {
    count_everywhere();
    const auto window = count_everywhere();
    const auto gathered = gather(window);
    EXPECT_EQ(gathered.counts, (usage::account_counts{{m_account, 20}}));
    EXPECT_EQ(gather(window).counts, gathered.counts);
}

// Guards against a report of a window that nobody has seen from its start.
TEST_F(usage_collector_test, window_in_which_the_collectors_started_is_not_observed) {
    EXPECT_EQ(gather(count_everywhere()).status, usage::gather_status::not_observed);
}

// Guards against a report without the counts of a zone.
TEST_F(usage_collector_test, zone_without_answer_is_missing) {
    const auto window = count_everywhere();
    m_network.cut_off = {6, 7, 8, 9, 10};
    EXPECT_EQ(gather(window).status, usage::gather_status::zone_missing);
}

// Guards against the loss of what a killed instance has delivered.
TEST_F(usage_collector_test, counts_of_instances_that_are_gone_are_gathered) {
    const auto window = count_everywhere();
    const auto kept = m_instances[0]->fleet.usage_collectors().at(zone_name("zone-b")).back();
    for (std::uint16_t port = 6; port <= 10; ++port) {
        if (port != kept.peer_address.port()) {
            m_network.cut_off.insert(port);
        }
    }
    EXPECT_EQ(gather(window).counts, (usage::account_counts{{m_account, 10}}));
}

} // namespace
} // namespace oriole::entry

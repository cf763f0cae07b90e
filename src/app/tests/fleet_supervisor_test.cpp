#include "app/internal/fleet_supervisor.h"

#include "app/tests/text_config_codec.h"
#include "platform/platform_server.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using machines::instance;

std::string append_number(std::string prefix, std::uint64_t number) {
    prefix += std::to_string(number);
    return prefix;
}

class recording_listener final : public config_listener {
public:
    void configuration_changed(const configuration& current) override {
        m_generations.push_back(current.head.generation);
    }

    [[nodiscard]] const std::vector<std::uint64_t>& generations() const { return m_generations; }

private:
    std::vector<std::uint64_t> m_generations;
};

/// Runs several instances in one process that communicate over loopback with one another and with a
/// platform stand-in.
class fleet_supervisor_test : public testing::Test {
protected:
    struct member {
        std::unique_ptr<links::peer_server> server;
        std::unique_ptr<links::peer_link> peers;
        std::unique_ptr<links::platform_link> platform;
        std::unique_ptr<random_source> random;
        recording_listener listener;
        std::shared_ptr<fleet_supervisor> supervisor;
    };

    fleet_supervisor_test() : m_admin(m_io, {asio::ip::make_address("127.0.0.1"), 0}) {}

    void start_member(const std::string& id, const std::string& zone) {
        auto added = std::make_unique<member>();
        const auto executor = m_io.get_executor();
        added->server = links::make_peer_server(executor, {"127.0.0.1", 0}, "peer", {"secret"});
        added->peers = links::make_peer_link(executor, {"secret"});
        added->platform = links::make_http_platform_link(m_platform->address());
        added->random = make_random_source(m_members.size() + 1);
        const auto self = instance::builder()
                              .id(instance_id(id))
                              .zone(zone_name(zone))
                              .caller_endpoint({"127.0.0.1", 1})
                              .admin_endpoint({"127.0.0.1", m_admin.local_endpoint().port()})
                              .peer_endpoint(added->server->address())
                              .build();
        const fleet_dependencies dependencies{executor,       *added->platform, *added->peers,
                                              *added->server, m_codec,          added->listener,
                                              *added->random};
        added->supervisor = make_fleet_supervisor(dependencies, self, make_fast_settings());
        added->supervisor->start();
        m_members.push_back(std::move(added));
    }

    /// Short intervals that keep the tests fast. No test result depends on them.
    fleet_settings make_fast_settings() {
        fleet_settings settings;
        if (!m_members.empty()) {
            settings.seeds = {m_members.front()->server->address()};
        }
        settings.list_period = std::chrono::milliseconds(100);
        settings.watch_wait = std::chrono::milliseconds(200);
        settings.platform_retry_delay = std::chrono::milliseconds(50);
        settings.anti_entropy_period = std::chrono::milliseconds(200);
        settings.membership.probe_period = std::chrono::milliseconds(200);
        return settings;
    }

    /// Runs the fleet until the condition holds. Returns false if it does not hold within a minute.
    bool run_until(const std::function<bool()>& holds) {
        const auto limit = steady_clock().now() + std::chrono::minutes(1);
        m_io.restart();
        while (!holds() && steady_clock().now() < limit) {
            m_io.run_one_for(std::chrono::milliseconds(100));
        }
        return holds();
    }

    template <class T>
    T run(awaitable<T> work) {
        auto done = asio::co_spawn(m_io, std::move(work), asio::use_future);
        run_until([&done] {
            return done.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        });
        return done.get();
    }

    void publish(std::uint64_t generation, const std::vector<std::string>& chunks) {
        const auto link = links::make_http_platform_link(m_platform->address());
        for (const auto& chunk : chunks) {
            const std::string path = "config/chunks/" + m_codec.chunk_digest(chunk);
            if (!run(link->get(path))) {
                run(link->put(path, chunk, 0, "chunk-" + chunk));
            }
        }
        run(link->put("config/head", m_codec.make_head(generation, chunks), generation - 1,
                      append_number("head-", generation)));
    }

    bool all_have_generation(std::uint64_t generation) {
        return std::all_of(m_members.begin(), m_members.end(), [generation](const auto& at) {
            return at->supervisor->generation() == generation;
        });
    }

    asio::io_context m_io{1};
    asio::ip::tcp::acceptor m_admin; ///< accepts the platform's probes of all members
    std::unique_ptr<standins::platform_server> m_platform =
        standins::make_platform_server(m_io, {});
    text_config_codec m_codec;
    std::vector<std::unique_ptr<member>> m_members;
};

// Guards against instances that miss a new generation or activate one twice.
TEST_F(fleet_supervisor_test, published_generations_reach_all_instances_in_order) {
    for (std::uint64_t i = 0; i < 7; ++i) {
        start_member(append_number("i", i), i % 2 == 0 ? "zone-a" : "zone-b");
    }
    // Once all instances know the same members, only two per zone watch the platform. The others
    // depend on offers from these.
    ASSERT_TRUE(run_until([this] {
        return std::all_of(m_members.begin(), m_members.end(), [this](const auto& at) {
            return at->supervisor->members().size() == m_members.size();
        });
    }));
    publish(1, {"a", "b"});
    ASSERT_TRUE(run_until([this] { return all_have_generation(1); }));
    publish(2, {"a", "c"});
    ASSERT_TRUE(run_until([this] { return all_have_generation(2); }));
    for (const auto& at : m_members) {
        EXPECT_EQ(at->listener.generations().back(), 2U);
        EXPECT_LE(at->listener.generations().size(), 2U);
    }
    EXPECT_TRUE(run_until([this] {
        return std::all_of(m_members.begin(), m_members.end(), [](const auto& at) {
            return at->supervisor->fresh_as_of().has_value();
        });
    }));
}

// Guards against an instance that cannot start during a platform outage, and against members that
// no longer find one another during the outage.
TEST_F(fleet_supervisor_test, platform_down_new_instance_starts_from_peers) {
    start_member("i0", "zone-a");
    start_member("i1", "zone-b");
    publish(1, {"a", "b"});
    ASSERT_TRUE(run_until([this] { return all_have_generation(1); }));
    standins::platform_faults outage;
    outage.down = true;
    m_platform->set_faults(outage);
    start_member("i2", "zone-a");
    EXPECT_TRUE(run_until([this] { return all_have_generation(1); }));
    EXPECT_TRUE(run_until([this] { return m_members[1]->supervisor->members().size() == 3; }));
}

// Guards against an instance that is still sent new work after it has announced that it leaves.
TEST_F(fleet_supervisor_test, leaving_instance_is_known_as_leaving) {
    start_member("i0", "zone-a");
    start_member("i1", "zone-a");
    ASSERT_TRUE(run_until([this] { return m_members[0]->supervisor->members().size() == 2; }));
    run(m_members[1]->supervisor->announce_leaving());
    EXPECT_TRUE(run_until([this] {
        const auto members = m_members[0]->supervisor->members();
        return members.size() == 2 && members[1].state == machines::member_state::leaving;
    }));
}

} // namespace
} // namespace oriole::app

#include "app/internal/database_supervisor.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace oriole::app {
namespace {

using links::backend_call;
using links::backend_result;

/// A backend server that applies the term rules of the control port but does not replicate.
struct fake_server {
    server_name name;
    bool reachable = true;
    std::uint64_t term = 1;
    std::string promoter;
    std::optional<server_name> primary;
    machines::log_position held{1, 5};

    [[nodiscard]] backend_result answer(const backend_call& call) {
        if (const auto* fence = std::get_if<links::fence_request>(&call)) {
            if (fence->term < term || (fence->term == term && fence->promoter != promoter)) {
                return refuse();
            }
            accept(fence->term, {});
            promoter = fence->promoter;
            return links::fence_answer{term, held};
        }
        if (const auto* promote = std::get_if<links::promote_request>(&call)) {
            if (promote->term != term || promote->promoter != promoter) {
                return refuse();
            }
            primary = name;
            return links::accepted_answer{term};
        }
        if (const auto* follow = std::get_if<links::follow_request>(&call)) {
            if (follow->term < term) {
                return refuse();
            }
            accept(follow->term, follow->primary.server);
            return links::accepted_answer{term};
        }
        return probe();
    }

private:
    void accept(std::uint64_t new_term, std::optional<server_name> new_primary) {
        term = new_term;
        primary = std::move(new_primary);
    }

    [[nodiscard]] backend_result refuse() const {
        return links::refusal_answer{links::refusal_reason::stale_term, term, {}};
    }

    [[nodiscard]] backend_result probe() const {
        links::probe_answer answer;
        answer.server = name;
        answer.term = term;
        answer.primary = primary;
        answer.role =
            primary == name ? machines::server_role::primary : machines::server_role::replica;
        answer.held = held;
        answer.applied = held;
        answer.age = std::chrono::milliseconds(0);
        return answer;
    }
};

class fake_link final : public links::backend_link {
public:
    explicit fake_link(fake_server& server) : m_server(server) {}

    boost::asio::awaitable<backend_result> call(backend_call call,
                                                clock::time_point /*deadline*/) override {
        if (!m_server.reachable) {
            throw links::link_error("fake server is unreachable", true);
        }
        co_return m_server.answer(call);
    }

    [[nodiscard]] bool usable() const noexcept override { return true; }

    [[nodiscard]] std::size_t in_flight() const noexcept override { return 0; }

    void close() noexcept override {}

private:
    fake_server& m_server;
};

class fake_connector final : public links::backend_connector {
public:
    std::map<endpoint, fake_server> servers;

    boost::asio::awaitable<std::shared_ptr<links::backend_link>>
    connect(endpoint server, clock::time_point /*deadline*/) override {
        co_return std::make_shared<fake_link>(servers.at(server));
    }
};

class database_supervisor_test : public testing::Test {
protected:
    void SetUp() override {
        publish_site(service_state::in);
        m_supervisor.set_instances({machines::instance::builder().id(m_self).build()});
    }

    fake_server& server(std::uint16_t number) { return m_connector.servers[address(number)]; }

    static endpoint address(std::uint16_t number) { return {"127.0.0.1", number}; }

    static server_name name(std::uint16_t number) {
        return server_name{"s" + std::to_string(number)};
    }

    void publish_site(service_state state_of_first) {
        site::site_objects::builder site;
        for (std::uint16_t number = 1; number <= 3; ++number) {
            auto& fake = server(number);
            if (fake.name.empty()) {
                fake.name = name(number);
                fake.primary = name(1);
            }
            site.add(machines::backend_server::builder()
                         .name(name(number))
                         .control_endpoint(address(number))
                         .state(number == 1 ? state_of_first : service_state::in)
                         .build());
        }
        site.add(machines::database::builder()
                     .name(m_database)
                     .servers({name(1), name(2), name(3)})
                     .build());
        m_site = site.build();
        m_supervisor.set_site(m_site);
    }

    /// Runs the io_context until a published view satisfies the condition.
    template <class Condition>
    void run_until(Condition condition) {
        m_context.restart();
        m_on_view = [this, condition](const machines::database_view& view) {
            if (condition(view)) {
                m_context.stop();
            }
        };
        m_context.run();
    }

    site::site_objects m_site;
    database_name m_database{"diary-1"};
    instance_id m_self{"i1"};
    boost::asio::io_context m_context;
    fake_connector m_connector;
    database_watch::listener m_on_view = [](const machines::database_view&) {};
    database_supervisor m_supervisor{m_context.get_executor(), m_connector, steady_clock(), m_self,
                                     [this](const auto& view) { m_on_view(view); }};
};

// Guards against a failed primary that is not replaced, against promoting a server with a shorter
// log, and against an old primary that does not follow the new one after it becomes reachable.
TEST_F(database_supervisor_test, silent_primary_is_replaced_and_follows_when_it_returns) {
    server(3).held = {1, 6};
    run_until([](const auto& view) { return view.reports.size() == 3; });
    server(1).reachable = false;
    run_until([](const auto& view) { return view.primary == name(3); });
    EXPECT_GT(m_supervisor.view(m_database)->term, 1U);
    EXPECT_FALSE(m_supervisor.timelines().empty());
    // After some rounds the promotion no longer sends requests to the old primary, so that only the
    // watch can redirect it later.
    int views = 0;
    run_until([&views](const auto&) { return ++views == 12; });
    EXPECT_EQ(server(1).primary, name(1));
    server(1).reachable = true;
    run_until([this](const auto&) { return server(1).primary == name(3); });
    EXPECT_EQ(server(1).term, server(3).term);
}

// Guards against a primary that stays on a server that was taken out of service, and against writes
// that are still held after the switchover.
TEST_F(database_supervisor_test, primary_out_of_service_is_switched_over_with_writes_held) {
    run_until([](const auto& view) { return view.reports.size() == 3; });
    publish_site(service_state::out);
    run_until([](const auto& view) { return view.writes_held; });
    run_until([](const auto& view) { return view.primary != name(1) && !view.writes_held; });
    EXPECT_EQ(m_supervisor.timelines().back().reason, "planned");
}

// Guards against a digest whose newer primary is ignored, and against an older digest that replaces
// it.
TEST_F(database_supervisor_test, digest_of_peer_gives_newer_primary) {
    machines::database_digest digest;
    digest.database = m_database;
    digest.from = instance_id{"i2"};
    digest.term = 4;
    digest.primary = name(2);
    m_supervisor.merge_report(digest);
    EXPECT_EQ(m_supervisor.view(m_database)->primary, name(2));
    digest.term = 3;
    digest.primary = name(3);
    m_supervisor.merge_report(digest);
    EXPECT_EQ(m_supervisor.digests().front().primary, name(2));
}

// Guards against watchers that never agree that the primary has failed, because their evidence is
// not exchanged or not counted.
TEST_F(database_supervisor_test, two_watchers_agree_through_digests) {
    const instance_id other{"i2"};
    database_supervisor second(m_context.get_executor(), m_connector, steady_clock(), other,
                               [](const auto& /*view*/) {});
    const std::vector<machines::instance> both{machines::instance::builder().id(m_self).build(),
                                               machines::instance::builder().id(other).build()};
    second.set_site(m_site);
    second.set_instances(both);
    m_supervisor.set_instances(both);
    run_until([](const auto& view) { return view.reports.size() == 3; });
    server(1).reachable = false;
    bool merging = false;
    run_until([&](const auto& view) {
        if (!merging) {
            merging = true;
            second.merge_report(m_supervisor.digests().front());
            m_supervisor.merge_report(second.digests().front());
            merging = false;
        }
        return view.primary != name(1);
    });
}

} // namespace
} // namespace oriole::app

#pragma once

#include "app/internal/config_store.h"
#include "app/internal/fleet_supervisor.h"
#include "links/peer_codec.h"
#include "zones/anti_entropy.h"
#include "zones/relay_topology.h"
#include "zones/watcher_assignment.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriole::app {

/// The fleet supervisor that uses calls between instances. Its member functions are in three files:
/// its start and end in fleet_supervisor.cpp, the membership in fleet_supervisor_members.cpp, and
/// the configuration in fleet_supervisor_configuration.cpp.
class peer_fleet_supervisor final : public fleet_supervisor,
                                    public std::enable_shared_from_this<peer_fleet_supervisor> {
public:
    peer_fleet_supervisor(const fleet_dependencies& dependencies, const machines::instance& self,
                          const fleet_settings& settings);

    void start() override;
    boost::asio::awaitable<void> announce_leaving() override;
    boost::asio::awaitable<void> stop() override;

    [[nodiscard]] std::uint64_t generation() const override { return m_store.generation(); }

    [[nodiscard]] std::optional<clock::time_point> fresh_as_of() const override {
        return m_store.fresh_as_of();
    }

    [[nodiscard]] std::vector<machines::member_update> members() const override {
        return m_membership->members();
    }

private:
    void add_methods();
    void spawn(boost::asio::awaitable<void> work, const char* task_name);
    boost::asio::awaitable<void> sleep(clock::duration time);
    boost::asio::awaitable<std::string> call(endpoint peer, const char* method, std::string params);
    boost::asio::awaitable<void> poll_instance_list();
    boost::asio::awaitable<void> refresh_instance_list();
    boost::asio::awaitable<void> probe_members();
    boost::asio::awaitable<void> ping(machines::send_ping action);
    boost::asio::awaitable<void> ping_via(machines::send_ping_via action);
    void ping_answered(std::uint64_t probe, const links::member_ping_answer& answer,
                       const endpoint& peer, clock::time_point asked_at);
    boost::asio::awaitable<std::string> answer_ping(std::string params);
    boost::asio::awaitable<std::string> answer_ping_via(std::string params);
    boost::asio::awaitable<void> watch_platform();
    boost::asio::awaitable<void> watch_once();
    boost::asio::awaitable<void> load_from_platform();
    void start_relay_if_watcher();
    void ping_seeds();
    boost::asio::awaitable<void> run_anti_entropy();
    void handle_summary(const links::config_summary& summary, const endpoint& peer,
                        instance_id origin, clock::time_point asked_at);
    boost::asio::awaitable<void> load_from_peer(endpoint peer);
    boost::asio::awaitable<void> fetch_from_peer(endpoint peer);
    boost::asio::awaitable<std::string> answer_offer(std::string params);
    boost::asio::awaitable<std::string> answer_fetch(std::string params);
    void activate_configuration(const std::string& source);
    void relay_configuration(const instance_id& origin);
    boost::asio::awaitable<void>
    offer_configuration(instance_id to, instance_id origin,
                        std::shared_ptr<zones::relay_context> step,
                        std::shared_ptr<std::set<instance_id>> offered);
    void offer_to_targets(const instance_id& origin,
                          const std::shared_ptr<zones::relay_context>& step,
                          const std::shared_ptr<std::set<instance_id>>& offered);
    void offer_to_other_zones();
    [[nodiscard]] std::map<zone_name, std::vector<instance_id>> participants_by_zone() const;
    [[nodiscard]] std::optional<endpoint> endpoint_of(const instance_id& id) const;
    [[nodiscard]] bool is_watcher() const;

    fleet_dependencies m_dependencies;
    machines::instance m_self;
    fleet_settings m_settings;
    config_store m_store;
    std::unique_ptr<machines::membership> m_membership;
    std::unique_ptr<zones::relay_topology> m_topology;
    std::unique_ptr<zones::watcher_assignment> m_assignment;
    std::unique_ptr<zones::anti_entropy> m_anti_entropy;
    std::uint64_t m_revision = 0; ///< revision of the platform's store at the last watch
    bool m_head_loaded = false;   ///< false when the head must be read again before watching
    std::set<instance_id> m_pending_origins; ///< origins of offers received while loading
    bool m_loading = false;                  ///< allows only one configuration load at a time
    bool m_leaving = false;
    bool m_stopped = false;
};

} // namespace oriole::app

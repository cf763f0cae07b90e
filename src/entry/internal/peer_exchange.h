#pragma once

#include <utility>

#include "base/decision_log.h"
#include "entry/internal/fleet_knowledge.h"
#include "links/peer_link.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <set>

namespace oriole::entry {

/// Exchanges reports with the other instances, so that each acts on the newest configuration, list
/// and evidence that any of them has. Not thread-safe; runs on the control thread.
class peer_exchange {
public:
    peer_exchange(boost::asio::any_io_executor executor, fleet_knowledge& knowledge,
                  const endpoint& listen, decision_log& log);

    /// Asks the instances in turn until the executor ends.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Asks all instances now.
    void ask_all();

    /// Tells all instances that this one ends.
    void tell_leaving();

    /// Whether the last exchange with every instance outside of the zone failed, and there are
    /// some.
    [[nodiscard]] bool lost_other_zones(const zone_name& own_zone) const;

    void stop() { m_server->stop(); }

private:
    [[nodiscard]] boost::asio::awaitable<void> ask(fleet::listed_instance peer);
    [[nodiscard]] boost::asio::awaitable<void> exchange(const fleet::listed_instance& peer);
    [[nodiscard]] boost::asio::awaitable<std::string> answer(std::string text);
    /// Evidence of other electors is needed only while a primary fails here.
    [[nodiscard]] bool has_turn(const fleet::listed_instance& peer) const;
    void set_reachable(const instance_id& peer, bool reachable, const std::string& reason);

    boost::asio::any_io_executor m_executor;
    fleet_knowledge& m_knowledge;
    decision_log& m_log;
    std::unique_ptr<links::peer_link> m_link;
    std::unique_ptr<links::peer_server> m_server;
    std::set<instance_id> m_asking;
    std::map<instance_id, bool> m_reachable;
    bool m_leaving = false;
};

} // namespace oriole::entry

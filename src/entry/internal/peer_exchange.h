#pragma once

#include <utility>

#include "base/decision_log.h"
#include "entry/internal/fleet_state.h"
#include "entry/internal/peer_clocks.h"
#include "entry/internal/peer_reachability.h"
#include "entry/internal/unexpected_replies.h"
#include "links/peer_link.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriole::entry {

/// An instance's reaction to a request for its report, with the promotion orders that it knows.
struct peer_answer {
    instance_id from;
    bool answered = false;
    std::map<service_name, reported_order> orders;

    friend bool operator==(const peer_answer&, const peer_answer&) = default;
};

/// Exchanges reports with other instances, so that each uses the newest configuration, list of
/// servers and failure evidence that any of them has. Not thread-safe; runs on the control thread.
class peer_exchange {
public:
    /// `apply_orders` puts promotion orders that were learned from a report into force in the whole
    /// instance. A report that knows an order is answered only after that.
    peer_exchange(boost::asio::any_io_executor executor, fleet_state& fleet, const endpoint& listen,
                  decision_log& log, metric_registry& metrics,
                  std::function<boost::asio::awaitable<void>()> apply_orders,
                  std::shared_ptr<machines::resource_account> resources);

    /// Polls the report peers in turn until the executor stops.
    [[nodiscard]] boost::asio::awaitable<void> run();

    /// Starts an exchange with every report peer now.
    void exchange_with_all();

    /// Exchanges reports with the given instances at once, except this one, and waits until all
    /// have answered or the time limit of a call is over.
    [[nodiscard]] boost::asio::awaitable<std::vector<peer_answer>>
    ask(std::vector<fleet::registered_instance> instances);

    /// Tells all report peers that this instance is shutting down.
    void announce_leaving();

    /// What the exchanges show about the network around this instance.
    [[nodiscard]] const peer_reachability& reachability() const noexcept { return m_reachability; }

    /// From now on, reports state this instance's wall clock, and those of other instances are
    /// passed to `clocks`, which must outlive this object.
    void exchange_clocks(peer_clocks& clocks) { m_clocks = &clocks; }

    /// The link and the server that further methods may use.
    [[nodiscard]] links::peer_link& link() { return *m_link; }

    [[nodiscard]] links::peer_server& server() { return *m_server; }

    void stop() { m_server->stop(); }

private:
    [[nodiscard]] boost::asio::awaitable<void> exchange_with(fleet::registered_instance peer);
    [[nodiscard]] boost::asio::awaitable<peer_answer> ask_one(fleet::registered_instance peer);
    [[nodiscard]] boost::asio::awaitable<peer_report>
    exchange(const fleet::registered_instance& peer);
    [[nodiscard]] boost::asio::awaitable<void> apply_learned_orders();
    [[nodiscard]] boost::asio::awaitable<std::string> answer(std::string text);
    /// Returns whether run() polls the peer. Report peers that are not polled peers are electors,
    /// whose evidence is needed only while this instance sees a primary failing.
    [[nodiscard]] bool should_poll(const fleet::registered_instance& peer) const;
    void log_unusable_names(const peer_report& report);
    void record_end(const fleet::registered_instance& peer, exchange_end end,
                    const std::string& reason);

    boost::asio::any_io_executor m_executor;
    fleet_state& m_fleet;
    decision_log& m_log;
    unexpected_replies m_unexpected_replies;
    std::unique_ptr<links::peer_link> m_link;
    std::unique_ptr<links::peer_server> m_server;
    std::function<boost::asio::awaitable<void>()> m_apply_orders;
    peer_clocks* m_clocks = nullptr; ///< null where usage is not reported
    int m_orders_being_applied = 0;
    std::set<instance_id> m_exchanges_in_progress;
    peer_reachability m_reachability;
    bool m_leaving = false;
};

} // namespace oriole::entry

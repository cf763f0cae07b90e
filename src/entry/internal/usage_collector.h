#pragma once

#include <utility>

#include "entry/internal/fleet_state.h"
#include "entry/internal/usage_time.h"
#include "links/peer_link.h"
#include "usage/delivery_record.h"
#include "usage/own_counts.h"
#include "usage/report_duty.h"
#include "usage/types/usage_messages.h"
#include "usage/usage_ledger.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace oriole::entry {

/// Brings the counts of usage together: sends those of this instance to the collectors of its zone,
/// and as a collector keeps those of others and passes them on. Not thread-safe; runs on the
/// control thread.
class usage_collector {
public:
    /// All references must outlive this object.
    usage_collector(boost::asio::any_io_executor executor, const usage::usage_settings& settings,
                    const fleet::registered_instance& own, fleet_state& fleet,
                    links::peer_link& link, links::peer_server& server, usage_time& time,
                    usage::report_duty& duty);

    /// Takes over what the traffic thread has counted.
    void add_runs(const std::vector<usage::counted_runs>& runs) { m_own_counts.add(runs); }

    /// Sends new counts to the collectors of the zone at regular intervals.
    [[nodiscard]] boost::asio::awaitable<void> deliver_regularly();

    /// As the first collector of the zone, passes its counts on to the other zones.
    [[nodiscard]] boost::asio::awaitable<void> relay_regularly();

    /// Sends all counts now, for a planned stop.
    void deliver_all();

    /// Brings the counts of the window together from the collectors of all zones.
    [[nodiscard]] boost::asio::awaitable<usage::gathered_counts> gather(std::int64_t window);

    /// Tells the other collectors which order is the newest.
    void announce_order();

private:
    using process = std::pair<instance_id, std::uint64_t>; ///< instance and incarnation

    /// What the collectors have answered to the requests of one gathering.
    struct gathering {
        explicit gathering(const boost::asio::any_io_executor& executor)
            : all_answered(executor, clock::time_point::max()) {}

        boost::asio::steady_timer all_answered; ///< canceled after the last answer
        std::int64_t window = 0;
        std::size_t open_requests = 0;
        std::set<zone_name> zones; ///< zones of which a collector has answered
        bool observed = false;     ///< a collector has been one since the start of the window
    };

    /// Places counts into windows, drops old windows and follows the roles.
    void advance();
    void forget_ended_collectors();
    [[nodiscard]] bool collects() const;
    /// The first window of which this instance has been a collector from the start.
    [[nodiscard]] std::int64_t first_whole_window() const;
    [[nodiscard]] std::vector<fleet::registered_instance> delivery_targets() const;
    [[nodiscard]] std::vector<fleet::registered_instance> all_collectors() const;
    [[nodiscard]] std::set<usage::entry_key> own_keys() const;
    void start_delivery(const fleet::registered_instance& target,
                        const std::set<usage::entry_key>& keys, bool relayed);
    [[nodiscard]] boost::asio::awaitable<void> deliver(fleet::registered_instance target,
                                                       usage::counts_message message);
    [[nodiscard]] boost::asio::awaitable<void> ask(fleet::registered_instance collector,
                                                   std::shared_ptr<gathering> state);
    [[nodiscard]] boost::asio::awaitable<void> announce(fleet::registered_instance collector);
    [[nodiscard]] boost::asio::awaitable<std::string> on_counts(std::string text);
    [[nodiscard]] boost::asio::awaitable<std::string> on_entries_request(std::string text);
    [[nodiscard]] boost::asio::awaitable<std::string> on_order(std::string text);
    [[nodiscard]] boost::asio::awaitable<std::string> call(const fleet::registered_instance& peer,
                                                           const char* method, std::string text);

    boost::asio::any_io_executor m_executor;
    usage::usage_settings m_settings;
    fleet::registered_instance m_own;
    fleet_state& m_fleet;
    links::peer_link& m_link;
    usage_time& m_time;
    usage::report_duty& m_duty;
    usage::own_counts m_own_counts;
    usage::usage_ledger m_ledger;
    std::int64_t m_first_window = 0; ///< oldest window that is kept
    std::int64_t m_last_window = -1;
    std::map<process, usage::delivery_record> m_deliveries;
    std::set<process> m_deliveries_in_progress;
    /// Entries that their own instances have sent to this one, which it relays to other zones.
    std::set<usage::entry_key> m_received_directly;
    std::optional<usage::true_time> m_collects_since;
    /// When a collector of the zone last acknowledged counts, or none had to.
    clock::time_point m_zone_reached_at{};
};

} // namespace oriole::entry

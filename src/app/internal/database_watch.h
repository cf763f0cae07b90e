#pragma once

#include "app/internal/control_links.h"
#include "machines/failure_detector.h"
#include "machines/promotion.h"
#include "machines/switchover.h"
#include "machines/types/database.h"
#include "machines/types/database_digest.h"
#include "machines/types/database_view.h"
#include "machines/types/promotion_timeline.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace oriole::app {

/// A database and its servers. A server whose zone is out has the state `out` too.
struct watched_database {
    machines::database definition;
    std::vector<machines::backend_server> servers;

    friend bool operator==(const watched_database&, const watched_database&) = default;
};

/// This instance's role in watching a database. `rank` is its position among the live watchers,
/// empty if it is not a watcher and only receives the reports of others.
struct watch_role {
    std::optional<std::size_t> rank;
    std::set<instance_id> watchers;

    friend bool operator==(const watch_role&, const watch_role&) = default;
};

struct watch_settings {
    std::chrono::milliseconds probe_interval{100};
    std::chrono::milliseconds probe_timeout{300};
    /// A server counts as reachable for this long after its last answer.
    std::chrono::milliseconds reachability_window{500};
    /// Time-out of one promotion request, after which it is sent again.
    std::chrono::milliseconds step_timeout{150};
    /// Maximum time that fencing waits for a server that would be preferred over the fenced server
    /// with the longest log.
    std::chrono::milliseconds fencing_timeout{250};
    std::chrono::milliseconds promoting_timeout{1000};
    /// A watcher of rank n waits n times this delay before it starts a promotion in place of the
    /// watchers of lower rank. Most promotions finish within this time.
    std::chrono::milliseconds rank_delay{500};
    /// How long a database may have no primary, or a server a higher term than the primary, before
    /// a promotion is started. Until then another instance may still be completing a promotion.
    std::chrono::milliseconds repair_delay{1000};
    std::chrono::milliseconds switchover_retry_interval{5000};

    friend bool operator==(const watch_settings&, const watch_settings&) = default;
};

/// Monitors one database on the control thread: probes its servers, maintains its view, and runs
/// promotions and planned switchovers. Not thread-safe. Owned by a shared_ptr, because its
/// coroutines keep it alive until they have ended.
class database_watch : public std::enable_shared_from_this<database_watch> {
public:
    using listener = std::function<void(const machines::database_view&)>;

    /// Precondition: `connector` and `time` outlive the object and its coroutines.
    database_watch(boost::asio::any_io_executor executor, links::backend_connector& connector,
                   const clock& time, instance_id self, listener on_view, watch_settings settings);

    void start();
    void stop();

    void set_database(watched_database database);
    void set_role(watch_role role);

    void merge(const machines::database_digest& digest);
    [[nodiscard]] machines::database_digest digest() const;

    /// Records that a traffic thread saw `term`, with `primary` as the primary of that term if
    /// known.
    void observe_term(std::uint64_t term, const std::optional<server_name>& primary);

    [[nodiscard]] const machines::database_view& view() const noexcept { return m_view; }

    /// The most recent promotions made by this instance, newest last.
    [[nodiscard]] const std::deque<machines::promotion_timeline>& timelines() const noexcept {
        return m_timelines;
    }

private:
    using awaitable = boost::asio::awaitable<void>;

    [[nodiscard]] awaitable run();
    [[nodiscard]] awaitable probe(server_name server);
    void record_probe_answer(const links::probe_answer& answer);
    void record_report(const machines::server_report& report);
    void adopt_primary(std::uint64_t term, const server_name& primary);
    void publish_view();

    void evaluate();
    [[nodiscard]] std::string promotion_reason() const;
    [[nodiscard]] bool is_majority_reachable() const;
    [[nodiscard]] bool has_server_ahead_of_primary() const;
    void begin_promotion(std::string reason, std::set<server_name> preferred);
    [[nodiscard]] awaitable run_promotion(std::shared_ptr<machines::promotion> machine,
                                          std::uint64_t term);
    void dispatch(const std::shared_ptr<machines::promotion>& machine,
                  const std::vector<machines::promotion_action>& actions);
    [[nodiscard]] awaitable run_action(std::shared_ptr<machines::promotion> machine,
                                       machines::promotion_action action);
    void handle_promotion_event(const std::shared_ptr<machines::promotion>& machine,
                                const machines::promotion_event& event);
    void record_milestone(machines::promotion_state state);
    void end_promotion(const machines::promotion& machine);

    void start_switchover_if_needed();
    void advance_switchover();
    void run_switchover_action(machines::switchover_action action);
    [[nodiscard]] std::optional<server_name> switchover_target() const;
    [[nodiscard]] std::set<server_name> servers_in_service() const;
    [[nodiscard]] bool is_member(const server_name& server) const;
    [[nodiscard]] bool in_service(const server_name& server) const;

    void redirect_misdirected_servers();
    [[nodiscard]] awaitable redirect(server_name server);
    [[nodiscard]] links::backend_call
    make_promotion_request(const machines::promotion_action& action) const;
    [[nodiscard]] links::member_address address_of(const server_name& server) const;
    void spawn(awaitable work);

    boost::asio::any_io_executor m_executor;
    const clock& m_clock;
    instance_id m_self;
    listener m_on_view;
    watch_settings m_settings;
    control_links m_links;
    boost::asio::steady_timer m_round_timer;
    boost::asio::steady_timer m_promotion_timer;
    bool m_stopped = false;

    std::optional<watched_database> m_database;
    watch_role m_role;
    machines::database_view m_view;
    std::uint64_t m_highest_term = 0;           ///< seen in reports or used by this instance
    std::set<server_name> m_probes_in_progress; ///< servers with a probe in progress
    /// Servers that follow another primary, or are still at an older term.
    std::set<server_name> m_misdirected_servers;
    std::unique_ptr<machines::failure_detector> m_detector;

    std::shared_ptr<machines::promotion> m_promotion;
    clock::time_point m_promotion_started;
    std::optional<clock::time_point> m_promotion_reason_since;
    std::string m_promotion_reason;
    std::deque<machines::promotion_timeline> m_timelines;

    std::unique_ptr<machines::switchover> m_switchover;
    std::optional<server_name> m_switchover_target;
    machines::log_position m_last_primary_position;
    clock::time_point m_next_switchover;
    /// Other instances that hold writes, with the time of their last report.
    std::map<instance_id, clock::time_point> m_remote_write_holds;
};

} // namespace oriole::app

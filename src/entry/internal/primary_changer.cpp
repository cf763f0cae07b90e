#include <utility>

#include "entry/internal/primary_changer.h"

#include "entry/internal/pause.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using sessions::command_kind;
using sessions::server_command;

/// Time limit for each step of a query to a server: connecting, sending and receiving.
constexpr clock::duration query_timeout = 300ms;
/// The same for a primary that seems lost, whose change waits for the answer. A primary that
/// answers later is too slow to be kept.
constexpr clock::duration primary_query_timeout = 150ms;
/// Number of status queries that wait for the target to receive the old primary's log, and the
/// pause between them.
constexpr int catch_up_attempts = 6;
constexpr clock::duration catch_up_pause = 60ms;
/// Time without a new promotion order after which replicas that a change has paused receive again.
/// An instance that has paused them for a promotion writes its order within this time.
constexpr clock::duration resume_pause = 1s;
/// A server that the platform refused to promote is not considered again for this long.
constexpr clock::duration refused_target_retry_delay = 2s;
/// Pause between attempts while another instance holds the promotion lease, which it obtained with
/// the last promotion order.
constexpr clock::duration lease_pause = 1s;
/// Pause after a failed attempt, because each call to the store and the platform is charged.
constexpr clock::duration failure_pause = 300ms;

} // namespace

primary_changer::primary_changer(asio::any_io_executor executor, fleet_state& fleet,
                                 promotion_orders& orders, promotion_authority& authority,
                                 routing::server_connector& connector, lease_revoker& leases,
                                 decision_log& log, metric_registry& metrics,
                                 std::function<void()> on_change)
    : m_executor(std::move(executor)),
      m_fleet(fleet),
      m_orders(orders),
      m_authority(authority),
      m_connector(connector, log, metrics),
      m_queries(m_executor, m_connector, log),
      m_survey(
          m_fleet, m_queries,
          [this](const server_name& server) { return m_refused_until.contains(server); },
          [this](const server_name& server) { return m_stepped_down.contains(server); }),
      m_leases(leases),
      m_log(log),
      m_promotions(metrics.get("oriole_promotions_total")),
      m_on_change(std::move(on_change)) {}

void primary_changer::start_due_changes(clock::time_point now) {
    std::erase_if(m_refused_until, [now](const auto& item) { return item.second <= now; });
    for (auto& [service, change] : m_fleet.due_changes(now)) {
        if (m_changes_in_progress.insert(service).second) {
            asio::co_spawn(m_executor, run(service, std::move(change)), asio::detached);
        }
    }
}

asio::awaitable<void> primary_changer::run(service_name service, fleet::primary_change change) {
    std::string failure;
    try {
        co_await perform_change(service, std::move(change));
    } catch (const std::exception& unavailable) {
        failure = unavailable.what();
    }
    if (!failure.empty()) {
        m_log.write(log_entry("primary_change")
                        .add("service", service.str())
                        .add("outcome", "unavailable")
                        .add("reason", failure));
        co_await pause(m_executor, failure_pause);
    }
    m_changes_in_progress.erase(service);
}

asio::awaitable<void> primary_changer::perform_change(service_name service,
                                                      fleet::primary_change change) {
    const auto seen_fence = m_orders.last_fence(service);
    auto order = co_await m_orders.newest(service);
    auto& monitor = m_fleet.primary_monitor_of(service);
    if (order.fence > seen_fence && !order.target.empty() && order.target != change.from &&
        order.holder != m_fleet.own() && m_fleet.find_server(order.target)) {
        // Another instance has just ordered a promotion; its target gets time to become the
        // primary.
        monitor.promoted(order.target);
        m_fleet.learn_order(order);
        m_fleet.set_last_promoter(service, order.holder);
        m_on_change();
        co_return;
    }
    if (!m_fleet.may_promote(order, steady_clock().now())) {
        m_log.write(log_entry("primary_change")
                        .add("service", service.str())
                        .add("holder", order.holder.str())
                        .add("fence", order.fence)
                        .add("outcome", "holder_has_the_lease"));
        co_await pause(m_executor, lease_pause);
        co_return;
    }
    std::optional<server_name> target;
    auto obstacle = co_await find_obstacle(change, order);
    if (obstacle.empty()) {
        target = co_await choose_target(change, order);
        obstacle = "no_candidate";
    }
    if (!target) {
        log_outcome(service, obstacle);
        co_await pause(m_executor, failure_pause);
        co_return;
    }
    order.service = service;
    order.holder = m_fleet.own();
    order.target = *target;
    order.fence = 0;
    const auto store_entry = co_await m_orders.write(order);
    if (!store_entry) {
        log_outcome(service, "another_instance_acts");
        co_return;
    }
    co_await promote_target(std::move(change), *store_entry);
}

asio::awaitable<std::string_view>
primary_changer::find_obstacle(const fleet::primary_change& change,
                               const fleet::promotion_order& last) {
    const bool leased = m_fleet.leases_needed();
    if (leased && last.fence != 0 && last.target.empty()) {
        // The promotion may still take effect, at a server that is not known.
        co_return "last_order_unreadable";
    }
    if (leased) {
        const bool reaches_majority = co_await m_leases.reaches_majority(last.service);
        if (!reaches_majority) {
            co_return "majority_of_zones_not_reached";
        }
    }
    if (change.reason == fleet::change_reason::lost && !change.from.empty()) {
        const bool primary_answers = co_await still_leads(change.from);
        if (primary_answers) {
            // Only the open connections to it carry nothing any more.
            if (change.synchronous_replicas > 0) {
                co_await resume_replicas(last.service, change, last.fence);
            }
            co_return "primary_answers";
        }
    }
    co_return std::string_view();
}

asio::awaitable<void> primary_changer::promote_target(fleet::primary_change change,
                                                      fleet::promotion_order order) {
    if (m_fleet.leases_needed()) {
        const auto obstacle = co_await end_leases(change, order);
        if (!obstacle.empty()) {
            log_outcome(order.service, obstacle);
            co_return;
        }
    } else if (change.reason == fleet::change_reason::planned && !change.from.empty()) {
        const auto result = co_await step_down_old_primary(order.service, change, order.target);
        const bool complete = co_await has_all_commits(change, order, result);
        if (!complete) {
            log_outcome(order.service, "target_lacks_commits");
            co_return;
        }
    }
    const auto result = co_await send_promotion(order);
    if (!result) {
        log_outcome(order.service, "superseded");
        co_return;
    }
    m_promotions.add();
    const bool accepted = *result == promotion_result::accepted;
    m_fleet.record_issued_order(order, steady_clock().now());
    m_log.write(
        log_entry("primary_change")
            .add("service", order.service.str())
            .add("from", change.from.str())
            .add("to", order.target.str())
            .add("reason", change.reason == fleet::change_reason::planned ? "planned" : "lost")
            .add("fence", order.fence)
            .add("outcome", accepted ? "accepted" : "refused"));
    if (accepted) {
        m_stepped_down.erase(change.from);
        m_fleet.primary_monitor_of(order.service).promoted(order.target);
    } else {
        m_refused_until[order.target] = steady_clock().now() + refused_target_retry_delay;
        if (m_fleet.leases_needed()) {
            m_fleet.primary_monitor_of(order.service).promotion_failed();
        }
    }
    m_on_change();
}

asio::awaitable<std::string_view> primary_changer::end_leases(fleet::primary_change change,
                                                              fleet::promotion_order order) {
    m_fleet.record_issued_order(order, steady_clock().now());
    m_fleet.learn_order(order);
    m_on_change();
    const auto stopped = std::make_shared<bool>(false);
    if (change.reason == fleet::change_reason::planned && !change.from.empty()) {
        const auto result = co_await step_down_old_primary(order.service, change, order.target);
        *stopped = result.stopped;
        const bool complete = co_await has_all_commits(change, order, result);
        if (!complete) {
            co_return "target_lacks_commits";
        }
    } else if (!change.from.empty() && change.from != order.target) {
        // The old primary seems lost, but it may only be unreachable for some instances.
        asio::co_spawn(m_executor, step_down_old_primary(order.service, change, order.target),
                       [stopped](const std::exception_ptr& failure, step_down_result result) {
                           if (failure) {
                               std::rethrow_exception(failure);
                           }
                           *stopped = result.stopped;
                       });
    }
    std::function<bool()> old_primary_stopped = [stopped] { return *stopped; };
    const bool revoked = co_await m_leases.revoke(std::move(order), std::move(old_primary_stopped));
    co_return revoked ? std::string_view() : "superseded";
}

asio::awaitable<std::optional<promotion_result>>
primary_changer::send_promotion(fleet::promotion_order order) {
    while (true) {
        std::string failure;
        try {
            co_return co_await m_authority.promote(order);
        } catch (const store_unavailable& unavailable) {
            if (!m_fleet.leases_needed()) {
                throw;
            }
            failure = unavailable.what();
        }
        m_log.write(log_entry("primary_change")
                        .add("service", order.service.str())
                        .add("to", order.target.str())
                        .add("fence", order.fence)
                        .add("outcome", "promotion_unanswered")
                        .add("reason", failure));
        co_await pause(m_executor, failure_pause);
        if (m_fleet.known_order_fence(order.service) > order.fence) {
            co_return std::nullopt;
        }
    }
}

asio::awaitable<std::optional<sessions::server_status>>
primary_changer::query_server(server_name server, command_kind kind, std::uint64_t term,
                              clock::duration step_timeout) {
    const auto known = m_fleet.find_known_server(server, steady_clock().now());
    if (!known) {
        co_return std::nullopt;
    }
    server_command command;
    command.kind = kind;
    command.term = term;
    const auto result =
        co_await m_queries.query(*known, m_fleet.any_account(), std::move(command), step_timeout);
    co_return result.status;
}

asio::awaitable<bool> primary_changer::still_leads(server_name server) {
    if (!m_fleet.find_server(server)) {
        // Without an entry it must not be used any more, even if it answers.
        co_return false;
    }
    const auto status =
        co_await query_server(std::move(server), command_kind::status, 0, primary_query_timeout);
    co_return status && status->primary;
}

asio::awaitable<void> primary_changer::resume_replicas(service_name service,
                                                       fleet::primary_change change,
                                                       std::uint64_t seen_fence) {
    co_await pause(m_executor, resume_pause);
    const auto order = co_await m_orders.newest(std::move(service));
    if (order.fence == seen_fence) {
        co_await m_survey.resume(std::move(change));
    }
}

asio::awaitable<std::optional<server_name>>
primary_changer::choose_target(fleet::primary_change change, fleet::promotion_order last) {
    if (m_fleet.leases_needed() && last.target == change.from &&
        !m_refused_until.contains(last.target)) {
        // The last promotion may not have been sent, or may still take effect. Promoting another
        // server could then make two primaries.
        const auto status =
            co_await query_server(last.target, command_kind::status, 0, query_timeout);
        if (status && !status->primary) {
            co_return last.target;
        }
    }
    const int synchronous_replicas = change.synchronous_replicas;
    if (synchronous_replicas > 0) {
        const bool hands_over = co_await can_hand_over(change);
        if (!hands_over) {
            const auto logs = co_await m_survey.ask_and_pause(last.service, std::move(change));
            co_return fleet::choose_longest_log(logs, synchronous_replicas);
        }
    }
    // A primary that hands over tells which commits the target has to have.
    const auto logs = co_await m_survey.ask(std::move(change));
    co_return fleet::choose_longest_log(logs, 0);
}

asio::awaitable<bool> primary_changer::can_hand_over(const fleet::primary_change& change) {
    if (change.reason != fleet::change_reason::planned) {
        co_return false;
    }
    const auto status = co_await query_server(change.from, command_kind::status, 0, query_timeout);
    co_return status && status->primary;
}

asio::awaitable<bool> primary_changer::has_all_commits(fleet::primary_change change,
                                                       fleet::promotion_order order,
                                                       step_down_result stepped_down) {
    if (change.synchronous_replicas == 0) {
        co_return true;
    }
    if (stepped_down.stopped) {
        co_return stepped_down.caught_up;
    }
    // The old primary may go on to acknowledge commits.
    const int synchronous_replicas = change.synchronous_replicas;
    const auto logs = co_await m_survey.ask_and_pause(order.service, std::move(change));
    co_return fleet::choose_longest_log(logs, synchronous_replicas) == order.target;
}

asio::awaitable<primary_changer::step_down_result>
primary_changer::step_down_old_primary(service_name service, fleet::primary_change change,
                                       server_name target) {
    step_down_result result;
    auto old = co_await query_server(change.from, command_kind::status, 0, query_timeout);
    if (!old || !old->primary) {
        result.stopped = old.has_value();
        // If it has stepped down before, the target was chosen by its log.
        co_return result;
    }
    const auto next_term = std::max(old->term, m_fleet.primary_monitor_of(service).term()) + 1;
    const auto stepped =
        co_await query_server(change.from, command_kind::step_down, next_term, query_timeout);
    if (stepped) {
        old = stepped;
    }
    result.stopped = stepped && !stepped->primary;
    if (result.stopped) {
        m_stepped_down.insert(change.from);
    }
    result.caught_up = false;
    // The commits that the old primary has acknowledged are safe once the target has received the
    // old primary's log.
    for (int attempt = 0; attempt < catch_up_attempts; ++attempt) {
        const auto status = co_await query_server(target, command_kind::status, 0, query_timeout);
        if (status && status->received >= old->received) {
            result.caught_up = true;
            break;
        }
        co_await pause(m_executor, catch_up_pause);
    }
    co_return result;
}

void primary_changer::log_outcome(const service_name& service, std::string_view outcome) {
    m_log.write(log_entry("primary_change").add("service", service.str()).add("outcome", outcome));
}

} // namespace oriole::entry

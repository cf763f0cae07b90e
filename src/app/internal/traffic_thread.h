#pragma once

#include "app/internal/request_handler.h"
#include "app/internal/transaction_address.h"
#include "contracts/types/share.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <thread>
#include <vector>

namespace oriole::app {

/// One traffic thread's slice of this instance's share of each account's rate.
using share_slices = std::map<account_name, contracts::share>;

/// A thread that serves callers, with the state that it owns. The control thread posts immutable
/// values to it and no mutable state is shared, so request processing takes no locks.
class traffic_thread final : public links::caller_handler {
public:
    /// Precondition: the references outlive this object.
    traffic_thread(transaction_address address, zone_name own_zone,
                   links::backend_connector& connector, metric_registry& metrics,
                   control_reports& reports);
    ~traffic_thread() override;
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    /// Sets all traffic threads of the instance, so that a request can be forwarded to the thread
    /// that owns its transaction. Call before start.
    void set_siblings(std::vector<traffic_thread*> siblings) { m_siblings = std::move(siblings); }

    void start();

    /// Stops and joins the thread; requests in progress are abandoned. Thread-safe, idempotent.
    void stop();

    /// Thread-safe.
    [[nodiscard]] boost::asio::any_io_executor executor() { return m_io.get_executor(); }

    /// The post_ functions queue an update on the thread and return at once. Thread-safe.
    void post_site(std::shared_ptr<const site_context> site);
    void post_view(std::shared_ptr<const machines::database_view> view);
    /// `applied` runs on the traffic thread after the rate limiter uses the new slices and the
    /// requests counted under the old ones have been reported.
    void post_shares(share_slices slices, std::function<void()> applied);
    void post_config_confirmed_at(clock::time_point time);

    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    handle(links::caller_request request, links::caller_identity& identity) override;

    [[nodiscard]] links::caller_answer
    answer_unfinished(const links::unfinished_request& request) override;

    /// Number of open transactions on this thread. Thread-safe.
    [[nodiscard]] std::size_t open_transactions() const { return m_open_transactions.load(); }

private:
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    handle_locally(links::caller_request request, links::caller_identity& identity);
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    forward_to_owner(traffic_thread& owner, links::caller_request request,
                     links::caller_identity& identity);
    [[nodiscard]] boost::asio::awaitable<void> expire_transactions();
    [[nodiscard]] boost::asio::awaitable<void> report_counts();
    void report_counts_now();
    void apply_site(std::shared_ptr<const site_context> site);
    void apply_slices();
    void end_transactions_of_withdrawn_keys();

    transaction_address m_address;
    control_reports& m_reports;
    std::vector<traffic_thread*> m_siblings;
    boost::asio::io_context m_io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<random_source> m_random;
    traffic_state m_state;
    std::unique_ptr<contracts::rate_limiter> m_limiter;
    share_slices m_slices;                     ///< as last posted by the control thread
    std::set<account_name> m_limited_accounts; ///< accounts with a share set in the rate limiter
    request_accounting m_accounting;
    std::unique_ptr<contracts::retry_budget> m_budget;
    std::unique_ptr<machines::replica_selector> m_selector;
    std::unique_ptr<machines::read_attempts> m_read_attempts;
    std::unique_ptr<machines::write_attempts> m_write_attempts;
    replication_confirmer m_confirmations;
    read_executor m_reads;
    write_executor m_writes;
    transaction_table m_transactions;
    transaction_executor m_transaction_executor;
    request_metrics m_metrics;
    request_handler m_request_handler;
    std::atomic<std::size_t> m_open_transactions{0};
    std::thread m_thread;
};

} // namespace oriole::app

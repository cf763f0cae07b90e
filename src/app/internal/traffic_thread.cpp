#include <utility>

#include "app/internal/traffic_thread.h"

#include "app/internal/sleep_for.h"
#include "app/internal/unfinished_request.h"
#include "contracts/contracts_module.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::app {
namespace {

namespace asio = boost::asio;
using links::answer_code;
using links::caller_answer;

constexpr std::chrono::milliseconds transaction_sweep_interval{500};
/// Equal to the share agent's decision interval. Counts are batched because a message to the
/// control thread for each request would cost more than the request itself.
constexpr std::chrono::milliseconds report_interval{100};

} // namespace

traffic_thread::traffic_thread(transaction_address address, zone_name own_zone,
                               links::backend_connector& connector, metric_registry& metrics,
                               control_reports& reports)
    : m_address(std::move(address)),
      m_reports(reports),
      m_work(m_io.get_executor()),
      m_random(make_random_source()),
      m_state(m_io.get_executor()),
      m_limiter(contracts::contracts_module::make_rate_limiter()),
      m_budget(contracts::make_retry_budget(*m_random)),
      m_selector(machines::make_replica_selector()),
      m_read_attempts(machines::make_read_attempts()),
      m_write_attempts(machines::make_write_attempts()),
      m_confirmations(connector),
      m_reads(m_state, *m_selector, *m_read_attempts, *m_budget, std::move(own_zone)),
      m_writes(m_state, *m_write_attempts, *m_budget, m_confirmations, reports),
      m_transaction_executor(m_state, m_transactions, m_writes, *m_random, m_address.prefix()),
      m_metrics(metrics),
      m_request_handler({m_state, *m_limiter, *m_budget, m_reads, m_writes, m_transaction_executor,
                         *m_random, m_metrics, m_accounting}) {}

traffic_thread::~traffic_thread() {
    stop();
}

void traffic_thread::start() {
    asio::co_spawn(m_io, expire_transactions(), asio::detached);
    asio::co_spawn(m_io, report_counts(), asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
}

void traffic_thread::stop() {
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void traffic_thread::post_site(std::shared_ptr<const site_context> site) {
    asio::post(m_io, [this, moved = std::move(site)]() mutable { apply_site(std::move(moved)); });
}

void traffic_thread::post_view(std::shared_ptr<const machines::database_view> view) {
    asio::post(
        m_io, [this, moved = std::move(view)]() mutable { m_state.update_view(std::move(moved)); });
}

void traffic_thread::post_shares(share_slices slices, std::function<void()> applied) {
    asio::post(m_io, [this, moved = std::move(slices), done = std::move(applied)]() mutable {
        m_slices = std::move(moved);
        apply_slices();
        report_counts_now();
        done();
    });
}

void traffic_thread::post_config_confirmed_at(clock::time_point time) {
    asio::post(m_io, [this, time] { m_state.set_config_confirmed_at(time); });
}

asio::awaitable<caller_answer> traffic_thread::handle(links::caller_request request,
                                                      links::caller_identity& identity) {
    if (request.transaction.empty()) {
        co_return co_await handle_locally(std::move(request), identity);
    }
    const auto owner = transaction_address::parse(request.transaction);
    if (!owner || owner->instance != m_address.instance || owner->thread >= m_siblings.size()) {
        co_return refusal(answer_code::not_found,
                          "there is no such open transaction at this instance");
    }
    if (owner->thread == m_address.thread) {
        co_return co_await handle_locally(std::move(request), identity);
    }
    co_return co_await forward_to_owner(*m_siblings[owner->thread], std::move(request), identity);
}

caller_answer traffic_thread::answer_unfinished(const links::unfinished_request& request) {
    return answer_without_result(request);
}

asio::awaitable<caller_answer> traffic_thread::handle_locally(links::caller_request request,
                                                              links::caller_identity& identity) {
    caller_answer answer = co_await m_request_handler.handle(std::move(request), identity);
    m_open_transactions = m_transactions.size();
    co_return answer;
}

asio::awaitable<caller_answer> traffic_thread::forward_to_owner(traffic_thread& owner,
                                                                links::caller_request request,
                                                                links::caller_identity& identity) {
    // `identity` belongs to a connection of this thread, so the owning thread writes to a copy.
    links::caller_identity remote;
    auto work = owner.handle_locally(std::move(request), remote);
    caller_answer answer =
        co_await asio::co_spawn(owner.executor(), std::move(work), asio::use_awaitable);
    identity = remote;
    co_return answer;
}

asio::awaitable<void> traffic_thread::expire_transactions() {
    while (true) {
        co_await sleep_for(transaction_sweep_interval);
        m_transactions.remove_expired(steady_clock().now());
        m_open_transactions = m_transactions.size();
    }
}

void traffic_thread::apply_site(std::shared_ptr<const site_context> site) {
    m_state.replace_site(std::move(site));
    end_transactions_of_withdrawn_keys();
    apply_slices();
}

/// Updates the rate limiter. Slices are fractions of an account's rate, so they are applied again
/// whenever the site changes the rates.
void traffic_thread::apply_slices() {
    const auto site = m_state.site();
    if (!site) {
        return;
    }
    const auto now = steady_clock().now();
    const auto& accounts = site->objects.accounts();
    std::erase_if(m_limited_accounts, [&](const account_name& name) {
        const bool gone = !accounts.contains(name);
        if (gone) {
            m_limiter->remove(name);
        }
        return gone;
    });
    for (const auto& [name, account] : accounts) {
        const auto held = m_slices.find(name);
        m_limiter->set_share(name, site->objects.rates().at(account.rate()),
                             held == m_slices.end() ? contracts::share{} : held->second, now);
        m_limited_accounts.insert(name);
    }
}

asio::awaitable<void> traffic_thread::report_counts() {
    while (true) {
        co_await sleep_for(report_interval);
        report_counts_now();
    }
}

void traffic_thread::report_counts_now() {
    auto counts = m_accounting.take();
    if (!counts.empty()) {
        m_reports.requests_counted(m_address.thread, std::move(counts));
    }
}

void traffic_thread::end_transactions_of_withdrawn_keys() {
    const auto& keys = m_state.site()->objects.keys();
    m_transactions.remove_if([&keys](const open_transaction& transaction) {
        if (transaction.caller.is_anonymous()) {
            return false;
        }
        const auto key = keys.find(transaction.caller.key());
        return key == keys.end() || key->second.state() == contracts::key_state::withdrawn;
    });
}

} // namespace oriole::app

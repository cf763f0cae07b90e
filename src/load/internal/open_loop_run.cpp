#include "load/internal/load_session.h"
#include "load/load_run.h"

#include <utility>

#include <boost/asio.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iostream>

namespace oriole::load {
namespace {

namespace asio = boost::asio;
using std::chrono::microseconds;

/// Added to the deadline of the last requests, for responses that arrive late.
constexpr std::chrono::seconds late_response_grace{2};
/// Time limit for looking up unknown outcomes, and again for reading back the written rows.
constexpr std::chrono::seconds verification_timeout{10};
constexpr std::chrono::seconds progress_interval{1};

/// The schedule and the sessions of one client account.
struct account_load {
    load_account account;
    double rate = 0;
    std::unique_ptr<traffic_profile> profile;
    std::unique_ptr<random_source> random;
    std::vector<std::unique_ptr<load_session>> sessions;
    std::vector<load_session*> idle_sessions;
    /// The scheduled times of requests that wait because all sessions are busy.
    std::deque<microseconds> queued_requests;
    std::size_t completed_requests = 0; ///< with any outcome
};

class open_loop_run final : public load_run {
public:
    explicit open_loop_run(const load_options& options)
        : m_options(options),
          m_executor_factory(options.targets.empty()
                                 ? make_direct_executor_factory(options)
                                 : make_instance_executor_factory(m_io.get_executor(), options)),
          m_started(steady_clock().now()) {
        double shares = 0;
        for (const auto& account : options.accounts) {
            shares += account.share;
        }
        // Rows and request ids must differ between runs against the same databases, also when the
        // runs have the same seed. The prefix is therefore not derived from the seed.
        const auto random = make_random_source();
        const std::string prefix = make_unique_id(*random).substr(0, 8);
        for (const auto& account : options.accounts) {
            add_account(account, account.share / shares, prefix);
        }
    }

    [[nodiscard]] load_result run(bool show_progress) override {
        load_result result;
        m_started = steady_clock().now();
        // Connections to backend servers always have a pending read, so the context does not run
        // out of work and is stopped when the last phase has ended.
        asio::co_spawn(m_io, run_phases(result, show_progress),
                       [this](const std::exception_ptr& failure) {
                           m_io.stop();
                           if (failure) {
                               std::rethrow_exception(failure);
                           }
                       });
        m_io.run();
        result.started = m_started;
        for (auto& load : m_loads) {
            result.history.accounts[load->account.name] = load->account.constraints;
            result.unsent += load->queued_requests.size();
            for (auto& session : load->sessions) {
                std::move(session->records().begin(), session->records().end(),
                          std::back_inserter(result.history.requests));
            }
        }
        return result;
    }

private:
    void add_account(const load_account& account, double share, const std::string& prefix);
    asio::awaitable<void> run_phases(load_result& result, bool show_progress);
    asio::awaitable<void> run_schedule(account_load& load);
    asio::awaitable<void> run_session(account_load& load, load_session& session,
                                      microseconds intended);
    void start_request(account_load& load, microseconds intended);
    asio::awaitable<void> wait_for_answers();
    asio::awaitable<void>
    for_each_session(const std::function<asio::awaitable<void>(load_session&)>& step);
    asio::awaitable<void> print_progress();
    asio::awaitable<void> sleep_until(clock::time_point time);

    [[nodiscard]] microseconds now() const {
        return std::chrono::duration_cast<microseconds>(steady_clock().now() - m_started);
    }

    asio::io_context m_io{1};
    const load_options& m_options;
    std::unique_ptr<request_executor_factory> m_executor_factory;
    clock::time_point m_started;
    std::vector<std::unique_ptr<account_load>> m_loads;
    std::size_t m_requests_in_flight = 0;
    std::size_t m_pending_session_steps = 0;
    std::size_t m_session_count = 0;
    bool m_loading = true;
};

void open_loop_run::add_account(const load_account& account, double share,
                                const std::string& prefix) {
    auto load = std::make_unique<account_load>();
    load->account = account;
    load->rate = m_options.rate * share;
    load->profile = make_traffic_profile(m_options.profile, m_options.read_share);
    load->random = make_random_source(m_options.seed + m_loads.size());
    const double session_count = std::ceil(static_cast<double>(m_options.sessions) * share);
    const auto count = std::max<std::size_t>(1, static_cast<std::size_t>(session_count));
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t index = m_session_count++;
        load->sessions.push_back(
            std::make_unique<load_session>(account.name, index, session_plan(prefix, index),
                                           m_executor_factory->make(account, index), m_started));
        load->idle_sessions.push_back(load->sessions.back().get());
    }
    m_loads.push_back(std::move(load));
}

asio::awaitable<void> open_loop_run::run_phases(load_result& result, bool show_progress) {
    if (show_progress) {
        asio::co_spawn(m_io, print_progress(), asio::detached);
    }
    for (auto& load : m_loads) {
        asio::co_spawn(m_io, run_schedule(*load), asio::detached);
    }
    const auto load_end = m_started + m_options.duration;
    co_await sleep_until(load_end);
    co_await wait_for_answers();
    m_loading = false;
    if (m_options.targets.empty()) {
        co_return;
    }
    const auto resolve_deadline = steady_clock().now() + verification_timeout;
    co_await for_each_session([resolve_deadline](load_session& session) -> asio::awaitable<void> {
        return session.resolve_unknown_writes(resolve_deadline);
    });
    const auto read_deadline = steady_clock().now() + verification_timeout;
    co_await for_each_session(
        [read_deadline, &result](load_session& session) -> asio::awaitable<void> {
            const std::size_t unread = co_await session.read_back(read_deadline);
            result.unread_rows += unread;
        });
}

asio::awaitable<void> open_loop_run::run_schedule(account_load& load) {
    const double duration_s = std::chrono::duration<double>(m_options.duration).count();
    double next_s = 0;
    while (load.rate > 0) {
        const double rate = load.rate * load.profile->rate_factor(next_s / duration_s);
        next_s -= std::log1p(-uniform(*load.random)) / rate;
        if (next_s >= duration_s) {
            co_return;
        }
        const microseconds intended(static_cast<std::int64_t>(next_s * 1e6));
        if (intended > now()) {
            co_await sleep_until(m_started + intended);
        }
        start_request(load, intended);
    }
}

void open_loop_run::start_request(account_load& load, microseconds intended) {
    if (load.idle_sessions.empty()) {
        load.queued_requests.push_back(intended);
        return;
    }
    // An idle session is chosen at random, so that all sessions are used at low rates too.
    std::swap(load.idle_sessions[load.random->next() % load.idle_sessions.size()],
              load.idle_sessions.back());
    auto* session = load.idle_sessions.back();
    load.idle_sessions.pop_back();
    ++m_requests_in_flight;
    asio::co_spawn(m_io, run_session(load, *session, intended), asio::detached);
}

asio::awaitable<void> open_loop_run::run_session(account_load& load, load_session& session,
                                                 microseconds intended) {
    const request_kind kind = load.profile->next_kind(*load.random);
    const std::size_t rows = load.profile->rows_per_read(kind);
    co_await session.run(kind, rows, *load.random, intended);
    ++load.completed_requests;
    --m_requests_in_flight;
    load.idle_sessions.push_back(&session);
    if (!load.queued_requests.empty() && m_loading) {
        const microseconds next = load.queued_requests.front();
        load.queued_requests.pop_front();
        start_request(load, next);
    }
}

asio::awaitable<void> open_loop_run::wait_for_answers() {
    constexpr std::chrono::milliseconds poll_interval{10};
    const auto until = steady_clock().now() + m_options.deadline + late_response_grace;
    while (m_requests_in_flight > 0 && steady_clock().now() < until) {
        co_await sleep_until(steady_clock().now() + poll_interval);
    }
}

asio::awaitable<void>
open_loop_run::for_each_session(const std::function<asio::awaitable<void>(load_session&)>& step) {
    asio::steady_timer all_done(m_io, clock::time_point::max());
    for (auto& load : m_loads) {
        for (auto& session : load->sessions) {
            ++m_pending_session_steps;
            asio::co_spawn(m_io, step(*session),
                           [this, &all_done](const std::exception_ptr& failure) {
                               if (failure) {
                                   std::rethrow_exception(failure);
                               }
                               if (--m_pending_session_steps == 0) {
                                   all_done.cancel();
                               }
                           });
        }
    }
    boost::system::error_code cancelled;
    while (m_pending_session_steps > 0) {
        co_await all_done.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<void> open_loop_run::print_progress() {
    for (int second = 1; m_loading; ++second) {
        co_await sleep_until(m_started + second * progress_interval);
        std::size_t completed = 0;
        std::size_t queued_requests = 0;
        for (const auto& load : m_loads) {
            completed += load->completed_requests;
            queued_requests += load->queued_requests.size();
        }
        std::cerr << "oriole-load: " << second << " s, " << completed << " answered, "
                  << m_requests_in_flight << " in flight, " << queued_requests << " waiting\n";
    }
}

asio::awaitable<void> open_loop_run::sleep_until(clock::time_point time) {
    asio::steady_timer timer(m_io, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

std::unique_ptr<load_run> make_load_run(const load_options& options) {
    return std::make_unique<open_loop_run>(options);
}

} // namespace oriole::load

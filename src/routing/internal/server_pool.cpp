#include <utility>

#include "routing/server_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace oriole::routing {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using sessions::answer_code;

/// Time limit for opening a connection. It includes the time in the server's queue, because opening
/// a connection takes one of the server's execution slots.
constexpr clock::duration open_limit = 600ms;
/// Time without an answer from a server with pending commands, after which other servers are
/// preferred.
constexpr clock::duration suspect_threshold = 250ms;
/// Time without an answer that counts as evidence of a failure; shorter waits are normal processing
/// time.
constexpr clock::duration evidence_threshold = 150ms;
/// A failed server is probed by one statement per interval.
constexpr clock::duration retry_interval = 300ms;
/// How long an instance that is not used as a gateway keeps an idle connection open.
constexpr clock::duration unused_connection_lifetime = 100ms;
/// Time limit for each answer that is read only to make the connection reusable.
constexpr clock::duration drain_limit = 2s;
/// Pause before another connection is opened to a server that has reached its connection limit. The
/// connections of machines that lost power occupy the server for seconds.
constexpr clock::duration connection_limit_backoff = 150ms;

} // namespace

struct server_pool::pool_waiter {
    pool_waiter(const asio::any_io_executor& executor, account_name for_account)
        : account(std::move(for_account)), timer(executor) {}

    account_name account;
    asio::steady_timer timer;
    std::unique_ptr<pooled_connection> connection;
    bool may_open = false;
    bool refused = false;
};

/// A request that waits for an execution slot.
struct server_pool::slot_waiter {
    slot_waiter(const asio::any_io_executor& executor, account_name for_account,
                sessions::session_values wanted)
        : account(std::move(for_account)), values(std::move(wanted)), timer(executor) {}

    account_name account;
    sessions::session_values values;
    asio::steady_timer timer;
    std::unique_ptr<pooled_connection> connection;
    bool may_open = false;
    bool decided = false; ///< given a slot, or refused
    bool refused = false;
};

server_pool::server_pool(asio::any_io_executor executor, server_connector& connector,
                         fleet::registered_server server)
    : m_executor(std::move(executor)), m_connector(connector), m_server(std::move(server)) {}

void server_pool::set_limit(int connections) {
    m_limit = std::max(connections, 1);
    while (m_open_connections > m_limit && !m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        close_connection(*connection);
    }
    serve_waiters();
}

void server_pool::set_scheduled(bool scheduled) {
    const bool was_scheduled = std::exchange(m_scheduled, scheduled && m_server.slots > 0);
    if (m_scheduled && m_schedule == nullptr) {
        m_schedule = scheduling::make_priority_server_schedule(m_server.slots);
    } else if (m_scheduled) {
        m_schedule->set_slots(m_server.slots);
    } else if (was_scheduled) {
        refuse_all_slot_waiters();
    }
}

asio::awaitable<pool_grant> server_pool::acquire(account_name account,
                                                 const sessions::session_values& values,
                                                 clock::time_point deadline, int priority) {
    const auto self = shared_from_this();
    const auto now = steady_clock().now();
    if (m_failing_since && now >= m_retry_at) {
        // Only this statement probes the failed server; others wait for the next interval.
        m_retry_at = now + retry_interval;
    }
    if (m_scheduled) {
        co_return co_await acquire_scheduled(std::move(account), values, deadline, priority);
    }
    co_return co_await connect(std::move(account), values, deadline);
}

asio::awaitable<pool_grant> server_pool::connect(account_name account,
                                                 const sessions::session_values& values,
                                                 clock::time_point deadline) {
    if (auto connection = take_idle(account, values)) {
        pool_grant grant;
        grant.connection = std::move(connection);
        co_return grant;
    }
    if (m_no_new_connections_until > steady_clock().now()) {
        pool_grant grant;
        grant.refusal = answer_code::connection_limit;
        co_return grant;
    }
    // Waiting for a connection that is being confirmed takes one round trip, opening another one
    // also takes an execution slot.
    if (!confirmation_is_awaitable(account) && make_room()) {
        ++m_open_connections;
        co_return co_await open(std::move(account));
    }
    co_return co_await wait(std::move(account), deadline);
}

asio::awaitable<pool_grant> server_pool::acquire_scheduled(account_name account,
                                                           const sessions::session_values& values,
                                                           clock::time_point deadline,
                                                           int priority) {
    const auto now = steady_clock().now();
    pool_grant grant;
    if (has_room() && m_schedule->may_start(priority, now)) {
        m_schedule->start(priority, now);
        grant = co_await connect(std::move(account), values, deadline);
    } else {
        scheduling::statement_claim claim{account, priority, deadline};
        const auto slot = co_await wait_for_slot(std::move(claim), values);
        if (slot == nullptr) {
            grant.refusal = answer_code::busy;
            grant.overloaded = !m_failing_since;
            co_return grant;
        }
        if (slot->connection) {
            grant.connection = std::move(slot->connection);
        } else if (slot->may_open) {
            grant = co_await open(std::move(account));
        } else {
            grant = co_await connect(std::move(account), values, deadline);
        }
    }
    if (grant.connection) {
        occupy_slot(*grant.connection, priority);
    } else {
        const bool refused_by_server = grant.opened && grant.refusal == answer_code::busy;
        const auto end = refused_by_server ? scheduling::statement_end::refused
                                           : scheduling::statement_end::unknown;
        m_schedule->finish(priority, end, clock::duration::zero(), steady_clock().now());
        start_waiting();
    }
    co_return grant;
}

asio::awaitable<std::shared_ptr<server_pool::slot_waiter>>
server_pool::wait_for_slot(scheduling::statement_claim claim,
                           const sessions::session_values& values) {
    const auto now = steady_clock().now();
    const auto ticket = m_schedule->enqueue(claim, now);
    auto own = std::make_shared<slot_waiter>(m_executor, claim.account, values);
    if (ticket) {
        m_slot_waiters.emplace(*ticket, own);
    }
    refuse_slot_waiters(m_schedule->take_refused(now));
    if (!ticket) {
        co_return nullptr;
    }
    start_waiting();
    while (!own->decided) {
        own->timer.expires_at(claim.latest_start);
        boost::system::error_code ignored;
        co_await own->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        refuse_slot_waiters(m_schedule->take_refused(steady_clock().now()));
    }
    co_return own->refused ? nullptr : own;
}

void server_pool::begin_statement(pooled_connection& connection, int priority) {
    if (m_scheduled && !connection.slot_priority) {
        m_schedule->start(priority, steady_clock().now());
        occupy_slot(connection, priority);
    }
}

void server_pool::end_statement(pooled_connection& connection, scheduling::statement_end end) {
    release_slot(connection, end);
    start_waiting();
}

void server_pool::occupy_slot(pooled_connection& connection, int priority) {
    connection.slot_priority = priority;
    connection.statement_began = steady_clock().now();
}

void server_pool::release_slot(pooled_connection& connection, scheduling::statement_end end) {
    if (!connection.slot_priority) {
        return;
    }
    const auto now = steady_clock().now();
    m_schedule->finish(*connection.slot_priority, end, now - connection.statement_began, now);
    connection.slot_priority.reset();
}

scheduling::schedule_counts server_pool::take_schedule_counts() {
    return m_schedule == nullptr ? scheduling::schedule_counts() : m_schedule->take_counts();
}

void server_pool::start_waiting() {
    while (!m_slot_waiters.empty() && has_room()) {
        const auto now = steady_clock().now();
        std::set<account_name> connected;
        for (const auto& connection : m_idle) {
            connected.insert(connection->account);
        }
        const auto ticket = m_schedule->start_next(now, connected);
        if (!ticket) {
            break;
        }
        const auto next = m_slot_waiters.extract(*ticket).mapped();
        next->decided = true;
        next->connection = take_idle(next->account, next->values);
        if (!next->connection && !confirmation_is_awaitable(next->account) &&
            m_no_new_connections_until <= now && make_room()) {
            ++m_open_connections;
            next->may_open = true;
        }
        next->timer.cancel();
    }
    if (!m_slot_waiters.empty()) {
        refuse_slot_waiters(m_schedule->take_refused(steady_clock().now()));
    }
}

void server_pool::refuse_slot_waiters(const std::vector<contracts::admission_ticket>& tickets) {
    for (const auto ticket : tickets) {
        const auto refused = m_slot_waiters.extract(ticket).mapped();
        refused->decided = true;
        refused->refused = true;
        refused->timer.cancel();
    }
}

void server_pool::release(std::unique_ptr<pooled_connection> connection) {
    release_slot(*connection, scheduling::statement_end::unknown);
    if (m_open_connections > m_limit || connection->channel->broken()) {
        discard(std::move(connection));
        return;
    }
    const auto same =
        std::find_if(m_waiters.begin(), m_waiters.end(), [&connection](const auto& waiter) {
            return waiter->account == connection->account;
        });
    // Below the limit, those who wait do so for a connection that is being confirmed.
    if (same == m_waiters.end() && !m_waiters.empty() && m_open_connections == m_limit) {
        discard(std::move(connection));
        return;
    }
    if (connection->channel->needs_confirmation()) {
        release_after_confirmation(std::move(connection));
        return;
    }
    if (same == m_waiters.end()) {
        connection->idle_since = steady_clock().now();
        m_idle.push_front(std::move(connection));
        start_waiting();
        return;
    }
    // Prefer the first waiter for the same account, even if others wait longer: reusing the
    // connection avoids opening one, which takes one of the server's execution slots.
    const auto waiter = *same;
    m_waiters.erase(same);
    waiter->connection = std::move(connection);
    waiter->timer.cancel();
}

void server_pool::discard(std::unique_ptr<pooled_connection> connection) {
    close_connection(*connection);
    serve_waiters();
}

void server_pool::release_after_answers(std::unique_ptr<pooled_connection> connection,
                                        int answers) {
    auto drain = [](std::shared_ptr<server_pool> self, std::unique_ptr<pooled_connection> held,
                    int due) -> asio::awaitable<void> {
        try {
            sessions::server_answer last;
            for (int i = 0; i < due; ++i) {
                last = co_await held->channel->receive(drain_limit);
            }
            self->mark_answered(*held, steady_clock().now());
            // A value whose acknowledgement was not read may have been set or not, so the
            // connection may hold another session's value.
            if (last.state == sessions::transaction_state::none &&
                held->session_state.all_acknowledged()) {
                self->release(std::move(held));
                co_return;
            }
        } catch (const unexpected_answer&) {
            // It does not show that the server is failing.
        } catch (const server_unreachable&) {
            self->mark_failed(steady_clock().now());
        }
        self->discard(std::move(held));
    };
    asio::co_spawn(m_executor, drain(shared_from_this(), std::move(connection), answers),
                   asio::detached);
}

void server_pool::release_after_confirmation(std::unique_ptr<pooled_connection> connection) {
    auto confirm = [](std::shared_ptr<server_pool> self,
                      std::unique_ptr<pooled_connection> held) -> asio::awaitable<void> {
        self->mark_waiting(*held, steady_clock().now());
        bool confirmed = false;
        try {
            co_await held->channel->confirm(confirmation_limit);
            held->session_state = {};
            self->mark_answered(*held, steady_clock().now());
            confirmed = true;
        } catch (const server_timeout&) {
            self->mark_timed_out(*held, steady_clock().now());
        } catch (const server_unreachable&) {
            // An answer that does not match does not show that the server is failing, nor does the
            // end of an unused connection.
        }
        self->m_confirming.erase(self->m_confirming.find(held->account));
        if (confirmed) {
            self->release(std::move(held));
        } else {
            self->discard(std::move(held));
        }
    };
    m_confirming.insert(connection->account);
    asio::co_spawn(m_executor, confirm(shared_from_this(), std::move(connection)), asio::detached);
}

void server_pool::mark_waiting(pooled_connection& connection, clock::time_point now) {
    if (!connection.waiting) {
        connection.waiting_since = m_unanswered_since.insert(now);
        connection.waiting = true;
    }
}

void server_pool::mark_answered(pooled_connection& connection, clock::time_point now) {
    if (connection.waiting) {
        m_unanswered_since.erase(connection.waiting_since);
        connection.waiting = false;
    }
    m_last_answer = now;
    m_failing_since.reset();
}

void server_pool::mark_timed_out(const pooled_connection& connection, clock::time_point now) {
    if (!connection.waiting) {
        return;
    }
    // What silenced this connection may have silenced the others.
    close_idle_since(*connection.waiting_since);
    if (m_last_answer && *m_last_answer >= *connection.waiting_since) {
        return;
    }
    if (!m_failing_since || *connection.waiting_since < *m_failing_since) {
        m_failing_since = *connection.waiting_since;
    }
    m_retry_at = now + retry_interval;
    // Other servers may serve those that wait for a slot in time.
    refuse_all_slot_waiters();
}

void server_pool::mark_failed(clock::time_point now) {
    if (!m_failing_since) {
        m_failing_since = now;
    }
    m_retry_at = now + retry_interval;
}

fleet::primary_evidence server_pool::evidence(clock::time_point now) const {
    fleet::primary_evidence evidence;
    evidence.server = m_server.id;
    evidence.answered = m_last_answer;
    evidence.failing_since = m_failing_since;
    if (!m_unanswered_since.empty()) {
        const auto since = std::max(*m_unanswered_since.begin(),
                                    m_last_answer.value_or(*m_unanswered_since.begin()));
        if (now - since > evidence_threshold &&
            (!evidence.failing_since || since < *evidence.failing_since)) {
            evidence.failing_since = since;
        }
    }
    return evidence;
}

bool server_pool::suspected(clock::time_point now) const {
    if (m_failing_since) {
        return now < m_retry_at;
    }
    const auto seen = evidence(now);
    return seen.failing_since && now - *seen.failing_since > suspect_threshold;
}

bool server_pool::available(const account_name& account) const {
    if (confirmation_is_awaitable(account)) {
        return false;
    }
    if (m_open_connections < m_limit) {
        return m_no_new_connections_until <= steady_clock().now();
    }
    return !m_idle.empty();
}

bool server_pool::has_idle(const account_name& account) const {
    return std::any_of(m_idle.begin(), m_idle.end(), [&account](const auto& connection) {
        return connection->account == account;
    });
}

void server_pool::close_unused(clock::time_point now) {
    close_idle_since(now - unused_connection_lifetime);
}

void server_pool::close_idle_since(clock::time_point time) {
    while (!m_idle.empty() && m_idle.back()->idle_since < time) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        close_connection(*connection);
    }
}

void server_pool::close() {
    close_idle_since(clock::time_point::max());
    m_limit = 0;
    refuse_waiting();
}

void server_pool::refuse_waiting() {
    for (const auto& waiter : m_waiters) {
        waiter->refused = true;
        waiter->timer.cancel();
    }
    m_waiters.clear();
    refuse_all_slot_waiters();
}

void server_pool::refuse_all_slot_waiters() {
    if (m_schedule != nullptr) {
        refuse_slot_waiters(m_schedule->clear(steady_clock().now()));
    }
}

std::unique_ptr<pooled_connection> server_pool::take_idle(const account_name& account,
                                                          const sessions::session_values& values) {
    while (true) {
        auto best = m_idle.end();
        int best_distance = 0;
        for (auto at = m_idle.begin(); at != m_idle.end(); ++at) {
            if ((*at)->account != account) {
                continue;
            }
            const int distance = (*at)->session_state.distance(values);
            if (best == m_idle.end() || distance < best_distance) {
                best = at;
                best_distance = distance;
            }
        }
        if (best == m_idle.end()) {
            return nullptr;
        }
        auto connection = std::move(*best);
        m_idle.erase(best);
        if (!connection->channel->broken()) {
            return connection;
        }
        close_connection(*connection);
    }
}

bool server_pool::make_room() {
    if (m_open_connections < m_limit) {
        return true;
    }
    if (m_idle.empty()) {
        return false;
    }
    auto connection = std::move(m_idle.back());
    m_idle.pop_back();
    close_connection(*connection);
    return m_open_connections < m_limit;
}

bool server_pool::confirmation_is_awaitable(const account_name& account) const {
    const auto awaited =
        std::count_if(m_waiters.begin(), m_waiters.end(),
                      [&account](const auto& waiter) { return waiter->account == account; });
    return static_cast<std::ptrdiff_t>(m_confirming.count(account)) > awaited;
}

asio::awaitable<pool_grant> server_pool::open(account_name account) {
    pool_grant grant;
    grant.opened = true;
    auto connection = std::make_unique<pooled_connection>();
    connection->channel = m_connector.make_channel(m_executor);
    connection->account = account;
    const auto asked = steady_clock().now();
    mark_waiting(*connection, asked);
    try {
        connection_request request{m_server.address, m_server.service, account, m_server.id};
        const auto answer = co_await connection->channel->open(std::move(request), open_limit);
        const auto now = steady_clock().now();
        mark_answered(*connection, now);
        if (answer.code == answer_code::ok) {
            grant.open_time = now - asked;
            grant.connection = std::move(connection);
            co_return grant;
        }
        grant.refusal = answer.code;
        if (answer.code == answer_code::wrong_server) {
            mark_failed(steady_clock().now());
        } else if (answer.code == answer_code::connection_limit) {
            m_no_new_connections_until = steady_clock().now() + connection_limit_backoff;
        }
    } catch (const unexpected_answer&) {
        grant.refusal = answer_code::aborted;
    } catch (const connection_unusable&) {
        grant.refusal = answer_code::aborted;
    } catch (const server_unreachable&) {
        mark_failed(steady_clock().now());
        grant.refusal = answer_code::aborted;
    }
    discard(std::move(connection));
    co_return grant;
}

asio::awaitable<pool_grant> server_pool::wait(account_name account, clock::time_point deadline) {
    const auto own = std::make_shared<pool_waiter>(m_executor, account);
    m_waiters.push_back(own);
    own->timer.expires_at(deadline);
    boost::system::error_code ignored;
    co_await own->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(m_waiters, own);
    if (own->connection) {
        pool_grant grant;
        grant.connection = std::move(own->connection);
        co_return grant;
    }
    if (own->may_open) {
        co_return co_await open(std::move(account));
    }
    pool_grant grant;
    grant.refusal = answer_code::busy;
    co_return grant;
}

void server_pool::close_connection(pooled_connection& connection) {
    if (connection.waiting) {
        m_unanswered_since.erase(connection.waiting_since);
        connection.waiting = false;
    }
    release_slot(connection, scheduling::statement_end::unknown);
    connection.channel->close();
    --m_open_connections;
}

void server_pool::serve_waiters() {
    while (!m_waiters.empty() && m_open_connections < m_limit) {
        const auto next = m_waiters.front();
        m_waiters.pop_front();
        ++m_open_connections;
        next->may_open = true;
        next->timer.cancel();
    }
    start_waiting();
}

} // namespace oriole::routing

#pragma once

#include <utility>

#include "base/clock.h"
#include "fleet/types/fleet_view.h"
#include "fleet/types/primary_evidence.h"
#include "routing/server_channel.h"
#include "scheduling/server_schedule.h"
#include "sessions/server_connection_state.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace oriole::routing {

/// Time limit for confirming a connection after an error, which takes one round trip.
constexpr clock::duration confirmation_limit = std::chrono::milliseconds(250);

/// A connection to a server, with the session state that it holds.
struct pooled_connection {
    std::shared_ptr<server_channel> channel;
    account_name account;
    sessions::server_connection_state session_state;
    std::multiset<clock::time_point>::iterator waiting_since; ///< valid while `waiting` is true
    bool waiting = false;
    clock::time_point idle_since{};
    /// Priority of the statement that occupies an execution slot of the server; none when none does
    /// or slots are not counted.
    std::optional<int> slot_priority;
    clock::time_point statement_began{}; ///< valid while `slot_priority` is set
};

/// A connection from the pool, or the reason why there is none.
struct pool_grant {
    std::unique_ptr<pooled_connection> connection;
    sessions::answer_code refusal = sessions::answer_code::ok;
    bool opened = false;         ///< the connection was opened for this request
    clock::duration open_time{}; ///< how long opening it took
    /// Refused by this instance: the server answers, but the statement could not start in time.
    bool overloaded = false;
};

/// This instance's connections to one server, limited to the instance's share of the server's
/// connection limit. Each connection belongs to one account; at the limit, the least recently used
/// idle connection is closed to open one for another account. Requests are granted in the order of
/// their arrival, or by a schedule of the server's execution slots. Not thread-safe; used on the
/// traffic thread.
class server_pool : public std::enable_shared_from_this<server_pool> {
public:
    server_pool(boost::asio::any_io_executor executor, server_connector& connector,
                fleet::registered_server server);

    /// Sets the maximum number of connections; excess connections are closed when they become idle.
    void set_limit(int connections);

    [[nodiscard]] const fleet::registered_server& server() const noexcept { return m_server; }

    [[nodiscard]] const boost::asio::any_io_executor& executor() const noexcept {
        return m_executor;
    }

    void set_server(const fleet::registered_server& server) { m_server = server; }

    /// Sets whether requests are granted by priority. Has no effect while the number of the
    /// server's slots is not known. When this ends, the waiting requests are refused.
    void set_scheduled(bool scheduled);

    /// Whether requests are granted by priority.
    [[nodiscard]] bool scheduled() const noexcept { return m_scheduled; }

    /// Returns a connection for the account, preferably one on which `values` are already set.
    /// Waits until `deadline` at most. When requests are scheduled, the connection comes with an
    /// execution slot, which is occupied until end_statement().
    [[nodiscard]] boost::asio::awaitable<pool_grant> acquire(account_name account,
                                                             const sessions::session_values& values,
                                                             clock::time_point deadline,
                                                             int priority = 0);

    /// Records that a further statement of a transaction is sent on the connection, which does not
    /// wait for a slot.
    void begin_statement(pooled_connection& connection, int priority);

    /// Records that the statement on the connection has left the server's execution slot.
    void end_statement(pooled_connection& connection, scheduling::statement_end end);

    /// Returns the schedule's counts since the last call.
    [[nodiscard]] scheduling::schedule_counts take_schedule_counts();

    /// Returns a connection to the pool, which closes it if no other statement may use it. A
    /// connection with an error is confirmed in the background first. Precondition: no open
    /// transaction and no pending answer.
    void release(std::unique_ptr<pooled_connection> connection);

    /// Closes a connection whose state is unknown.
    void discard(std::unique_ptr<pooled_connection> connection);

    /// Reads the pending answers in the background, then returns the connection to the pool. Closes
    /// it when the answers do not arrive.
    void release_after_answers(std::unique_ptr<pooled_connection> connection, int answers);

    /// Records that an answer is pending on the connection.
    void mark_waiting(pooled_connection& connection, clock::time_point now);

    /// Records that the server has answered on the connection.
    void mark_answered(pooled_connection& connection, clock::time_point now);

    /// Records that a statement ended without an answer on the connection. Closes the connections
    /// that have been idle since before the statement. The server counts as failing if it has not
    /// answered any other connection meanwhile; requests that wait for a slot are refused then.
    void mark_timed_out(const pooled_connection& connection, clock::time_point now);

    /// Records that the server could not be reached or its connection broke.
    void mark_failed(clock::time_point now);

    /// Returns the age of the server's last answer and for how long the server has been failing.
    [[nodiscard]] fleet::primary_evidence evidence(clock::time_point now) const;

    /// Returns whether the server has failed since its last answer.
    [[nodiscard]] bool failing() const noexcept { return m_failing_since.has_value(); }

    /// Returns whether the server has been failing, so that other servers are preferred. A failed
    /// server is not suspected when it is due to be probed again.
    [[nodiscard]] bool suspected(clock::time_point now) const;

    /// Returns whether a connection for the account is available without waiting.
    [[nodiscard]] bool available(const account_name& account) const;

    /// Returns whether a connection of the account is idle.
    [[nodiscard]] bool has_idle(const account_name& account) const;

    /// Requests that wait for a connection or a slot.
    [[nodiscard]] std::size_t waiting() const noexcept {
        return m_waiters.size() + m_slot_waiters.size();
    }

    /// Commands that the server has yet to answer, and requests that wait for a connection to it.
    [[nodiscard]] int outstanding() const noexcept {
        return static_cast<int>(m_unanswered_since.size() + waiting());
    }

    /// Time of the first failure since the server's last answer; nullopt when it is not failing.
    [[nodiscard]] std::optional<clock::time_point> failing_since() const noexcept {
        return m_failing_since;
    }

    /// Closes the idle connections that have not been used since `time`.
    void close_idle_since(clock::time_point time);

    /// Closes connections that have been idle for longer than unused_connection_lifetime, so that
    /// they do not use up the server's connection limit, which all instances share.
    void close_unused(clock::time_point now);

    /// Refuses the waiting requests.
    void refuse_waiting();

    /// Closes the idle connections and refuses the waiting requests.
    void close();

private:
    struct pool_waiter;
    struct slot_waiter;

    [[nodiscard]] std::unique_ptr<pooled_connection>
    take_idle(const account_name& account, const sessions::session_values& values);
    [[nodiscard]] bool make_room();
    /// Whether a connection for the account is being confirmed that no other request waits for.
    [[nodiscard]] bool confirmation_is_awaitable(const account_name& account) const;
    [[nodiscard]] boost::asio::awaitable<pool_grant> open(account_name account);
    [[nodiscard]] boost::asio::awaitable<pool_grant> wait(account_name account,
                                                          clock::time_point deadline);
    [[nodiscard]] boost::asio::awaitable<pool_grant>
    acquire_scheduled(account_name account, const sessions::session_values& values,
                      clock::time_point deadline, int priority);
    /// Waits for a slot. Returns null when the request is refused.
    [[nodiscard]] boost::asio::awaitable<std::shared_ptr<slot_waiter>>
    wait_for_slot(scheduling::statement_claim claim, const sessions::session_values& values);
    /// Returns a connection for a request that was given a slot.
    [[nodiscard]] boost::asio::awaitable<pool_grant> connect(account_name account,
                                                             const sessions::session_values& values,
                                                             clock::time_point deadline);

    /// Whether a request would get a connection without waiting for another one's.
    [[nodiscard]] bool has_room() const { return m_open_connections < m_limit || !m_idle.empty(); }

    void occupy_slot(pooled_connection& connection, int priority);
    void release_slot(pooled_connection& connection, scheduling::statement_end end);
    /// Gives slots and connections to waiting requests, as far as there are any.
    void start_waiting();
    void refuse_all_slot_waiters();
    void refuse_slot_waiters(const std::vector<contracts::admission_ticket>& tickets);
    /// Confirms the connection in the background, then returns it to the pool or closes it.
    void release_after_confirmation(std::unique_ptr<pooled_connection> connection);
    void close_connection(pooled_connection& connection);
    void serve_waiters();

    boost::asio::any_io_executor m_executor;
    server_connector& m_connector;
    fleet::registered_server m_server;
    int m_limit = 1;
    int m_open_connections = 0; ///< connections that are open or being opened
    std::list<std::unique_ptr<pooled_connection>> m_idle; ///< most recently used first
    std::multiset<account_name> m_confirming; ///< accounts of connections that are being confirmed
    std::deque<std::shared_ptr<pool_waiter>> m_waiters;
    bool m_scheduled = false;
    std::unique_ptr<scheduling::server_schedule> m_schedule; ///< null until it is needed
    std::map<contracts::admission_ticket, std::shared_ptr<slot_waiter>> m_slot_waiters;
    std::multiset<clock::time_point> m_unanswered_since;
    std::optional<clock::time_point> m_last_answer;
    /// Time of the first failure since the last answer.
    std::optional<clock::time_point> m_failing_since;
    clock::time_point m_retry_at{}; ///< when a failed server is probed again
    /// No connection is opened before this time, because the server has reached its connection
    /// limit.
    clock::time_point m_no_new_connections_until{};
};

} // namespace oriole::routing

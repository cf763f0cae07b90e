#pragma once

#include <utility>

#include "base/clock.h"
#include "entry/server_channel.h"
#include "fleet/types/fleet_view.h"
#include "fleet/types/primary_evidence.h"
#include "sessions/connection_alignment.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <set>

namespace oriole::entry {

/// A server's connection and what it holds.
struct pooled_connection {
    std::shared_ptr<server_channel> channel;
    account_name account;
    sessions::connection_alignment alignment;
    std::multiset<clock::time_point>::iterator waiting_since; ///< set while answers are due
    bool waiting = false;
    clock::time_point idle_since{};
};

/// A connection, or why there is none.
struct pool_grant {
    std::unique_ptr<pooled_connection> connection;
    sessions::answer_code refusal = sessions::answer_code::ok;
    bool opened = false; ///< the connection is new
};

/// This instance's connections to one server, at most as many as its part of the server's limit.
/// Each connection is for one account; the least recently used one makes place for another account.
/// Not thread-safe; used on the traffic thread.
class server_pool : public std::enable_shared_from_this<server_pool> {
public:
    server_pool(boost::asio::any_io_executor executor, server_connector& connector,
                fleet::listed_server server);

    /// Takes over a new limit; connections above it are closed when they become idle.
    void set_limit(int connections);

    [[nodiscard]] const fleet::listed_server& server() const noexcept { return m_server; }

    [[nodiscard]] const boost::asio::any_io_executor& executor() const noexcept {
        return m_executor;
    }

    void set_server(const fleet::listed_server& server) { m_server = server; }

    /// A connection for the account, preferably one that already has the values. Waits until
    /// `give_up` at most.
    [[nodiscard]] boost::asio::awaitable<pool_grant> acquire(account_name account,
                                                             const sessions::session_values& values,
                                                             clock::time_point give_up);

    /// Gives a connection back that has no open transaction and no answer due.
    void release(std::unique_ptr<pooled_connection> connection);

    /// Closes a connection whose state is not known.
    void discard(std::unique_ptr<pooled_connection> connection);

    /// Reads the answers that are still due, then gives the connection back. Closes it when they
    /// do not come.
    void release_after_answers(std::unique_ptr<pooled_connection> connection, int answers);

    /// Orders were sent on the connection and an answer is due.
    void mark_waiting(pooled_connection& connection, clock::time_point now);

    /// The server has answered on the connection.
    void mark_answered(pooled_connection& connection, clock::time_point now);

    /// The server could not be reached or did not answer.
    void mark_failed(clock::time_point now);

    /// What the server's answers and failures say about it.
    [[nodiscard]] fleet::primary_evidence evidence(clock::time_point now) const;

    /// Whether the server has failed for a while, so that others are preferred.
    [[nodiscard]] bool suspected(clock::time_point now) const;

    /// Whether a connection for the account can be had without waiting.
    [[nodiscard]] bool available(const account_name& account) const;

    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiters.size(); }

    /// Closes connections that have been idle for a moment, since other instances need them.
    void close_unused(clock::time_point now);

    /// Closes the idle connections and refuses those who wait.
    void close();

private:
    struct pool_waiter;

    [[nodiscard]] std::unique_ptr<pooled_connection>
    take_idle(const account_name& account, const sessions::session_values& values);
    [[nodiscard]] bool make_place();
    [[nodiscard]] boost::asio::awaitable<pool_grant> open(account_name account);
    [[nodiscard]] boost::asio::awaitable<pool_grant> wait(account_name account,
                                                          clock::time_point give_up);
    void forget(pooled_connection& connection);
    void serve_waiters();

    boost::asio::any_io_executor m_executor;
    server_connector& m_connector;
    fleet::listed_server m_server;
    int m_limit = 1;
    int m_open = 0; ///< connections that exist or are being opened
    std::list<std::unique_ptr<pooled_connection>> m_idle; ///< most recently used first
    std::deque<std::shared_ptr<pool_waiter>> m_waiters;
    std::multiset<clock::time_point> m_waiting_since;
    std::optional<clock::time_point> m_answered;
    std::optional<clock::time_point> m_failed; ///< first failure since the last answer
    clock::time_point m_retry_at{};            ///< when a failed server is tried again
    clock::time_point m_full_until{};          ///< until then the server takes no more connections
};

} // namespace oriole::entry

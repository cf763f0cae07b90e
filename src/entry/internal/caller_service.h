#pragma once

#include <utility>

#include "entry/caller_channel.h"
#include "entry/internal/traffic_context.h"
#include "routing/statement_runner.h"
#include "sessions/caller_session.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace oriole::entry {

/// Serves the session of one client from its connect request to its end. Not thread-safe; used on
/// the traffic thread.
class caller_service : public machines::resource_holder,
                       public std::enable_shared_from_this<caller_service> {
public:
    caller_service(traffic_context& context, std::shared_ptr<caller_channel> channel)
        : m_context(context),
          m_channel(std::move(channel)),
          m_finish_wait(context.executor(), clock::time_point::max()) {}

    /// Has the account count what the connection holds. To be called once, before serve().
    void open_account();

    /// Closes the connection to the client. Thread-safe.
    void close_for(machines::refusal_reason reason) override;

    /// Counts the input that has arrived while a statement runs for longer than the time between
    /// two calls. To be called regularly.
    void account_unread();

    /// Serves the client until it disconnects or the session is closed.
    [[nodiscard]] boost::asio::awaitable<void> serve();

    /// Closes the session if it is quiet: no statement is running, no transaction is open, no input
    /// is pending, and the last answer was not sent a moment ago. The client of a quiet session
    /// only has to reconnect; one that has just been answered may be sending its next statement.
    /// Returns whether the session is closed.
    bool close_if_quiet(clock::time_point now);

    /// Returns whether end_soon() was called.
    [[nodiscard]] bool ending() const noexcept { return m_ending; }

    /// Ends the session with the next answer after which no transaction is open and no input is
    /// pending.
    void end_soon() noexcept { m_ending = true; }

    /// Rolls back the open transaction if no statement is running; its next statement is answered
    /// with aborted. Refuses to begin another, which would be rolled back before its end.
    void end_transactions();

    /// Answers the running statement without its result, and refuses all that would run at a server
    /// from now on. The session ends as after end_soon().
    void end_now();

    /// Returns whether the connection to the client is closed.
    [[nodiscard]] bool closed() const noexcept { return m_closed; }

private:
    /// What follows a statement.
    enum class next_step {
        receive_next,
        end_session,
        served_by_finish ///< end_now() has answered the statement; another coroutine serves the
                         ///< client
    };

    [[nodiscard]] boost::asio::awaitable<bool> open();
    [[nodiscard]] boost::asio::awaitable<void> serve_statements();
    [[nodiscard]] boost::asio::awaitable<next_step> handle(sessions::statement statement);
    /// Sends the answer of a statement that end_now() has answered, and serves the client from then
    /// on in place of serve().
    [[nodiscard]] boost::asio::awaitable<void> finish(sessions::server_answer answer);
    [[nodiscard]] boost::asio::awaitable<void> wait_for_finish();
    /// Returns the outcome of a statement that is answered without its result, and updates the
    /// session's transaction state accordingly.
    [[nodiscard]] routing::run_outcome end_without_result(const routing::statement_run& run,
                                                          bool may_have_been_sent);
    [[nodiscard]] boost::asio::awaitable<routing::run_outcome> run(routing::statement_run run);
    [[nodiscard]] boost::asio::awaitable<routing::run_outcome>
    run_in_transaction(routing::statement_run run);
    [[nodiscard]] boost::asio::awaitable<std::optional<sessions::statement>> next_statement();
    /// Sends the answer; ends the stream with it if `is_last`.
    [[nodiscard]] boost::asio::awaitable<void> reply(sessions::server_answer answer, bool is_last);
    /// Whether the next answer is the last one of the session.
    [[nodiscard]] bool ends_with_next_answer() const;
    [[nodiscard]] sessions::answer_code check_permission();
    /// Whether the session may keep its values and prepared statements.
    [[nodiscard]] bool may_keep_session();
    /// Reserves memory for a large statement. Returns false when there is none.
    [[nodiscard]] bool reserve_memory(const routing::statement_run& run);
    void log_end(std::string_view event, std::string_view reason);
    void close();
    /// Rolls the open transaction back, unless a statement that end_now() has answered still runs
    /// in it; serve() does so then, once the statement has ended.
    void end_transaction();
    void roll_back();
    /// Rolls back the open transaction if no statement is running.
    void abort_transaction();
    void record_outcome(const routing::statement_run& run, const routing::run_outcome& outcome);

    traffic_context& m_context;
    std::shared_ptr<caller_channel> m_channel;
    std::string m_database;
    std::string m_key;
    account_name m_account;
    fleet::route m_route; ///< route of the open transaction, or of the last operation
    sessions::caller_session m_session;
    std::shared_ptr<machines::resource_holding> m_holding;
    std::unique_ptr<machines::running_memory> m_running_memory; ///< of a large statement
    std::size_t m_state_bytes = 0; ///< of the session, as they were last reported
    bool m_was_running = false;    ///< a statement was running at the last account_unread()
    std::unique_ptr<statement_transaction> m_transaction;
    bool m_statement_running = false;
    const routing::statement_run* m_run = nullptr; ///< the statement whose outcome is awaited
    bool m_admitted = false; ///< whether the awaited statement is within the rate
    bool m_ending = false;   ///< the session ends with an answer after which it is idle
    bool m_refusing = false; ///< nothing more is sent to a server
    bool m_refusing_transactions = false;
    /// Another coroutine than the one that awaits the outcome of a statement serves the client.
    bool m_served_by_finish = false;
    bool m_finished = false;                 ///< the coroutine of finish() has ended
    boost::asio::steady_timer m_finish_wait; ///< canceled when it has ended
    bool m_closed = false;
    /// When the last answer or the confirmation was sent; before that, when the client connected.
    clock::time_point m_answered_at = steady_clock().now();
    bool m_transaction_aborted = false; ///< the open transaction was rolled back by this instance
};

} // namespace oriole::entry

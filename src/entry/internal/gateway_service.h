#pragma once

#include "base/random_source.h"
#include "entry/internal/statement_executor.h"
#include "entry/internal/traffic_context.h"
#include "entry/types/forwarded_statement.h"
#include "links/peer_link.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace oriole::entry {

/// Runs statements that other instances of the zone forward, and holds their open transactions. Not
/// thread-safe; runs on the traffic thread.
class gateway_service {
public:
    /// Starts to listen. Throws links::listen_failed.
    gateway_service(boost::asio::any_io_executor executor, const endpoint& listen,
                    traffic_context& context);

    /// Periodically rolls back transactions that have been idle for too long. Runs until the
    /// executor stops.
    [[nodiscard]] boost::asio::awaitable<void> end_idle_transactions();

    /// Rejects new statements and transactions from now on; open transactions may continue.
    void leave() noexcept { m_leaving = true; }

    /// Refuses the statements that have not been sent to a server yet, so that the other instance
    /// runs them elsewhere instead of not getting an answer.
    void withdraw_waiting();

    /// Rolls back the open transactions, except those in which a statement is running.
    void abort_transactions();

    /// The endpoint on which the service listens.
    [[nodiscard]] endpoint address() const { return m_server->address(); }

    /// Returns whether no statement is running and no transaction is open for another instance.
    [[nodiscard]] bool idle() const noexcept {
        return m_running->empty() && m_transactions.empty();
    }

private:
    using handover_set = std::set<std::shared_ptr<routing::statement_handover>>;

    struct held_transaction {
        std::unique_ptr<statement_transaction> transaction;
        account_name account;
        clock::time_point used{};
    };

    [[nodiscard]] boost::asio::awaitable<std::string> run(std::string params);
    [[nodiscard]] boost::asio::awaitable<std::string> roll_back(std::string params);
    [[nodiscard]] boost::asio::awaitable<std::string> admit(std::string params);
    [[nodiscard]] boost::asio::awaitable<forwarded_outcome> execute(forwarded_statement forwarded);
    [[nodiscard]] boost::asio::awaitable<forwarded_outcome>
    execute_next(forwarded_statement forwarded, routing::statement_run run);
    /// Rolls the transaction back, unless a statement is running in it.
    void end_transaction(std::uint64_t id);
    /// An id that no transaction has had, also not before a restart of this instance.
    [[nodiscard]] std::uint64_t new_transaction_id();
    void log_failure(const forwarded_statement& forwarded, const forwarded_outcome& outcome);

    boost::asio::any_io_executor m_executor;
    traffic_context& m_context;
    std::unique_ptr<links::peer_server> m_server;
    /// The open transactions in which no statement is running. A running statement owns its
    /// transaction, so that an error ends both.
    std::map<std::uint64_t, held_transaction> m_transactions;
    std::unique_ptr<random_source> m_random = make_random_source();
    /// Of the running statements. Shared with them, as their coroutines may be destroyed after this
    /// object, when the executor ends.
    std::shared_ptr<handover_set> m_running = std::make_shared<handover_set>();
    bool m_leaving = false;
};

} // namespace oriole::entry

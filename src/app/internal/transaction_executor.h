#pragma once

#include "app/internal/request_context.h"
#include "app/internal/traffic_state.h"
#include "app/internal/transaction_table.h"
#include "app/internal/write_executor.h"
#include "base/random_source.h"

#include <string>

namespace oriole::app {

/// Executes transactions that span several requests. Used on one traffic thread.
class transaction_executor {
public:
    /// Precondition: the references outlive this object. `id_prefix` starts every transaction id
    /// and identifies this instance and thread.
    transaction_executor(traffic_state& state, transaction_table& table, write_executor& writes,
                         random_source& random, std::string id_prefix);

    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    begin(const request_context& context);

    /// Executes the statements, the commit or the rollback that the request asks for.
    /// Precondition: `transaction` belongs to the request's caller and is in the table.
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    handle_request(const request_context& context, std::shared_ptr<open_transaction> transaction);

    [[nodiscard]] std::shared_ptr<open_transaction> find(const std::string& id) const {
        return m_table.find(id);
    }

private:
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    add(const request_context& context, std::shared_ptr<open_transaction> transaction);
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    commit(const request_context& context, std::shared_ptr<open_transaction> transaction);
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    rollback(const request_context& context, std::shared_ptr<open_transaction> transaction);

    traffic_state& m_state;
    transaction_table& m_table;
    write_executor& m_writes;
    random_source& m_random;
    std::string m_id_prefix;
};

} // namespace oriole::app

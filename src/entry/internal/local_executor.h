#pragma once

#include "entry/internal/statement_executor.h"

namespace oriole::entry {

/// Runs statements over this instance's own connections to the backend servers. Precondition: the
/// service outlives the executor and its transactions.
class local_executor final : public statement_executor {
public:
    explicit local_executor(routing::service_traffic& service) : m_service(service) {}

    [[nodiscard]] boost::asio::awaitable<routing::run_outcome>
    run_autocommit(routing::statement_run run) override;

    [[nodiscard]] boost::asio::awaitable<routing::run_outcome>
    run_first(routing::statement_run run, bool reads_only,
              std::unique_ptr<statement_transaction>& transaction) override;

private:
    routing::service_traffic& m_service;
    routing::statement_runner m_runner;
};

} // namespace oriole::entry

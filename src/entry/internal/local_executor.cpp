#include <utility>

#include "entry/internal/local_executor.h"

namespace oriole::entry {
namespace {

namespace asio = boost::asio;

class local_transaction final : public statement_transaction {
public:
    local_transaction(routing::service_traffic& service,
                      std::unique_ptr<routing::open_transaction> open)
        : m_service(service), m_open(std::move(open)), m_server(m_open->pool->server().id) {}

    asio::awaitable<routing::run_outcome> run_next(routing::statement_run run) override {
        auto outcome = co_await m_runner.run_next(m_service, std::move(run), *m_open);
        if (outcome.transaction_finished) {
            m_wrote = m_open->wrote;
            m_open.reset();
        }
        co_return outcome;
    }

    void roll_back() override { routing::statement_runner::roll_back(std::move(m_open)); }

    bool wrote() const override { return m_open != nullptr ? m_open->wrote : m_wrote; }

    server_name server() const override { return m_server; }

private:
    routing::service_traffic& m_service;
    routing::statement_runner m_runner;
    std::unique_ptr<routing::open_transaction> m_open;
    server_name m_server;
    bool m_wrote = false;
};

} // namespace

asio::awaitable<routing::run_outcome> local_executor::run_autocommit(routing::statement_run run) {
    co_return co_await m_runner.run_autocommit(m_service, std::move(run));
}

asio::awaitable<routing::run_outcome>
local_executor::run_first(routing::statement_run run, bool reads_only,
                          std::unique_ptr<statement_transaction>& transaction) {
    std::unique_ptr<routing::open_transaction> open;
    auto outcome = co_await m_runner.run_first(m_service, std::move(run), reads_only, open);
    if (open != nullptr) {
        transaction = std::make_unique<local_transaction>(m_service, std::move(open));
    }
    co_return outcome;
}

} // namespace oriole::entry

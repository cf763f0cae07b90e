#include "links/backend_link.h"
#include "load/request_executor.h"

#include <utility>

#include <boost/asio.hpp>

#include <map>

namespace oriole::load {
namespace {

namespace asio = boost::asio;
using links::backend_link;
using links::backend_result;

/// How often a session checks whether another session has finished connecting.
constexpr std::chrono::milliseconds connect_poll_interval{1};

class direct_executor_factory final : public request_executor_factory {
public:
    explicit direct_executor_factory(const load_options& options)
        : m_options(options), m_connector(links::make_tcp_backend_connector()) {}

    [[nodiscard]] std::unique_ptr<request_executor> make(const load_account& account,
                                                         std::size_t session) override;

    /// Calls `server` over the connection that all sessions share. Throws link_error.
    asio::awaitable<backend_result> call(endpoint server, links::backend_call call) {
        const auto deadline = steady_clock().now() + m_options.deadline;
        const std::shared_ptr<backend_link> link = co_await find_link(server, deadline);
        backend_result result = co_await link->call(std::move(call), deadline);
        co_return result;
    }

    [[nodiscard]] const direct_servers& servers() const { return m_options.direct; }

private:
    /// Returns the connection to a server. The first session that needs it connects while the
    /// others wait, so that there is only one connection to each server.
    asio::awaitable<std::shared_ptr<backend_link>> find_link(endpoint server,
                                                             clock::time_point deadline) {
        auto& slot = m_links[server];
        while (slot.connecting) {
            asio::steady_timer timer(co_await asio::this_coro::executor, connect_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (slot.link && slot.link->usable()) {
            co_return slot.link;
        }
        slot.connecting = true;
        const connecting_guard guard{slot.connecting};
        slot.link = co_await m_connector->connect(server, deadline);
        co_return slot.link;
    }

    struct link_slot {
        std::shared_ptr<backend_link> link;
        bool connecting = false;
    };

    /// Clears `connecting` when the attempt to connect has ended or failed.
    class connecting_guard {
    public:
        explicit connecting_guard(bool& flag) : m_flag(flag) {}

        connecting_guard(const connecting_guard&) = delete;
        connecting_guard& operator=(const connecting_guard&) = delete;

        ~connecting_guard() { m_flag = false; }

    private:
        bool& m_flag;
    };

    const load_options& m_options;
    std::unique_ptr<links::backend_connector> m_connector;
    std::map<endpoint, link_slot> m_links;
};

/// Sends reads to the replicas in round-robin order. Writes go to the primary and are then
/// confirmed by one replica, so that they are as durable as writes through the proxy.
class direct_executor final : public request_executor {
public:
    direct_executor(direct_executor_factory& shared, std::size_t session)
        : m_factory(shared), m_request_count(session) {}

    [[nodiscard]] asio::awaitable<execution_result> execute(planned_request request) override {
        execution_result response;
        try {
            response = co_await run(std::move(request));
        } catch (const links::link_error& failure) {
            response.result = failure.sent() ? outcome::unknown : outcome::not_run;
            response.reason = failure.what();
        }
        co_return response;
    }

    [[nodiscard]] asio::awaitable<outcome> resolve_outcome(std::string) override {
        co_return outcome::unknown;
    }

private:
    asio::awaitable<execution_result> run(planned_request request) {
        const auto& servers = m_factory.servers();
        const std::size_t request_number = ++m_request_count;
        links::execute_request message;
        message.statements = std::move(request.statements);
        const bool writes = message.statements.front().writes();
        endpoint server = servers.replicas[request_number % servers.replicas.size()];
        if (writes) {
            message.mode = links::execute_mode::write;
            message.term = servers.term;
            message.request_id = std::move(request.id);
            server = servers.primary;
        }
        execution_result response;
        response.target = server.str();
        response.by_replica = !writes;
        links::backend_call call = std::move(message);
        const backend_result result = co_await m_factory.call(server, std::move(call));
        const auto* executed = std::get_if<links::execute_answer>(&result);
        response.result = executed != nullptr ? outcome::done : outcome::not_run;
        if (executed == nullptr) {
            co_return response;
        }
        response.results = executed->results;
        if (writes) {
            response.result = co_await confirm(executed->position, request_number);
        }
        co_return response;
    }

    asio::awaitable<outcome> confirm(links::log_position position, std::size_t request_number) {
        const auto& servers = m_factory.servers();
        const endpoint server = servers.confirm[request_number % servers.confirm.size()];
        links::backend_call call = links::confirm_request{position, std::chrono::seconds(1)};
        const backend_result result = co_await m_factory.call(server, std::move(call));
        const auto* confirmed = std::get_if<links::confirm_answer>(&result);
        co_return confirmed != nullptr && confirmed->holds ? outcome::done : outcome::unknown;
    }

    direct_executor_factory& m_factory;
    std::size_t m_request_count;
};

std::unique_ptr<request_executor> direct_executor_factory::make(const load_account&,
                                                                std::size_t session) {
    return std::make_unique<direct_executor>(*this, session);
}

} // namespace

std::unique_ptr<request_executor_factory>
make_direct_executor_factory(const load_options& options) {
    return std::make_unique<direct_executor_factory>(options);
}

} // namespace oriole::load

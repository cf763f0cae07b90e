#include <utility>

#include "links/caller_server.h"

#include "links/internal/http_caller_connection.h"
#include "links/listening_socket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <glog/logging.h>

#include <atomic>
#include <list>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// The setting with the address of this server.
constexpr const char* listen_role = "caller";
constexpr std::chrono::seconds expiry_check_interval{1};
/// Delay after a failed accept, for example when the process is out of file descriptors. An
/// immediate retry would fail as well and keep the thread busy.
constexpr std::chrono::milliseconds accept_retry_delay{100};

/// The connections of one traffic thread. Used on that thread only.
class worker_connections : public std::enable_shared_from_this<worker_connections> {
public:
    explicit worker_connections(caller_worker worker)
        : m_worker(std::move(worker)), m_timer(m_worker.executor) {}

    [[nodiscard]] const asio::any_io_executor& executor() const noexcept {
        return m_worker.executor;
    }

    /// Creates a connection that has yet to be added. May be called on any thread.
    [[nodiscard]] std::shared_ptr<http_caller_connection>
    make_connection(tcp::socket socket, std::shared_ptr<caller_server_state> state) const {
        return std::make_shared<http_caller_connection>(std::move(socket), *m_worker.handler,
                                                        std::move(state));
    }

    void add(const std::shared_ptr<http_caller_connection>& connection) {
        m_connections.push_back(connection);
        const auto position = std::prev(m_connections.end());
        const auto self = shared_from_this();
        asio::co_spawn(
            m_worker.executor, [connection] { return connection->run(); },
            [self, position](const std::exception_ptr& failure) {
                if (failure) {
                    LOG(ERROR) << "caller connection closed after an unexpected exception";
                }
                self->m_connections.erase(position);
            });
    }

    [[nodiscard]] asio::awaitable<void> close_expired_connections() {
        const auto self = shared_from_this();
        error_code error;
        while (!error) {
            m_timer.expires_after(expiry_check_interval);
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            const auto now = steady_clock().now();
            for (const auto& connection : m_connections) {
                connection->close_if_expired(now);
            }
        }
    }

    void close_if(const std::function<bool(const caller_identity&)>& predicate) {
        for (const auto& connection : m_connections) {
            if (predicate(connection->identity())) {
                connection->close_when_idle();
            }
        }
    }

    void end_requests() {
        for (const auto& connection : m_connections) {
            connection->end_now();
        }
    }

    void stop() { m_timer.cancel(); }

private:
    caller_worker m_worker;
    asio::steady_timer m_timer;
    std::list<std::shared_ptr<http_caller_connection>> m_connections;
};

class http_caller_server final : public caller_server,
                                 public std::enable_shared_from_this<http_caller_server> {
public:
    http_caller_server(const endpoint& listen, std::vector<caller_worker> workers,
                       const caller_limits& limits, metric_registry& metrics)
        : m_address(listen),
          m_acceptor(workers.front().executor),
          m_state(std::make_shared<caller_server_state>()),
          m_accepted(metrics.get("caller_connections_accepted_total")),
          m_rejected(metrics.get("caller_connections_rejected_total")) {
        m_state->limits = limits;
        for (auto& worker : workers) {
            m_workers.push_back(std::make_shared<worker_connections>(std::move(worker)));
        }
    }

    void start() override {
        listen(m_acceptor, m_address, listen_role);
        m_accepting = true;
        const auto self = shared_from_this();
        asio::co_spawn(
            m_acceptor.get_executor(), [self] { return self->accept_loop(); }, asio::detached);
        for (const auto& worker : m_workers) {
            asio::co_spawn(
                worker->executor(), [worker] { return worker->close_expired_connections(); },
                asio::detached);
        }
    }

    void drain() override {
        m_state->draining = true;
        const auto self = shared_from_this();
        asio::post(m_acceptor.get_executor(), [self] { self->stop_accepting(); });
    }

    [[nodiscard]] bool accepting() const override { return m_accepting; }

    [[nodiscard]] std::size_t open_connections() const override {
        return m_state->open_connections.load(std::memory_order_relaxed);
    }

    [[nodiscard]] std::size_t requests_in_progress() const override {
        return m_state->requests_in_progress.load(std::memory_order_relaxed);
    }

    void close_connections(std::function<bool(const caller_identity&)> predicate) override {
        for (const auto& worker : m_workers) {
            asio::post(worker->executor(), [worker, predicate] { worker->close_if(predicate); });
        }
    }

    void end_requests() override {
        for (const auto& worker : m_workers) {
            asio::post(worker->executor(), [worker] { worker->end_requests(); });
        }
    }

private:
    [[nodiscard]] asio::awaitable<void> accept_loop() {
        while (m_acceptor.is_open()) {
            const auto worker = next_worker();
            error_code error;
            tcp::socket socket(worker->executor());
            co_await m_acceptor.async_accept(socket,
                                             asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_await delay_accept(error);
                continue;
            }
            assign_connection(std::move(socket), worker);
        }
        // Only now is a connection counted that was accepted just before the acceptor was closed.
        m_accepting = false;
    }

    void stop_accepting() {
        auto worker = next_worker();
        while (auto waiting = accept_waiting(m_acceptor, worker->executor())) {
            assign_connection(std::move(*waiting), worker);
            worker = next_worker();
        }
        error_code ignored;
        m_acceptor.close(ignored);
    }

    [[nodiscard]] std::shared_ptr<worker_connections> next_worker() {
        auto worker = m_workers[m_next_worker];
        m_next_worker = (m_next_worker + 1) % m_workers.size();
        return worker;
    }

    [[nodiscard]] asio::awaitable<void> delay_accept(const error_code& error) {
        if (!m_acceptor.is_open()) {
            co_return;
        }
        LOG(WARNING) << "caller connection not accepted; retrying in 100 ms error=\""
                     << error.message() << '"';
        asio::steady_timer timer(m_acceptor.get_executor(), accept_retry_delay);
        error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void assign_connection(tcp::socket socket, const std::shared_ptr<worker_connections>& worker) {
        if (open_connections() >= m_state->limits.max_connections) {
            m_rejected.add();
            return;
        }
        m_accepted.add();
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        // The connection counts as open from here on, before its worker knows of it.
        asio::post(worker->executor(),
                   [worker, connection = worker->make_connection(std::move(socket), m_state)] {
                       worker->add(connection);
                   });
    }

    endpoint m_address;
    tcp::acceptor m_acceptor;
    std::shared_ptr<caller_server_state> m_state;
    std::vector<std::shared_ptr<worker_connections>> m_workers;
    std::size_t m_next_worker = 0; ///< used on the acceptor's thread
    std::atomic<bool> m_accepting{false};
    metric& m_accepted;
    metric& m_rejected;
};

} // namespace

std::shared_ptr<caller_server> make_http_caller_server(const endpoint& listen,
                                                       std::vector<caller_worker> workers,
                                                       const caller_limits& limits,
                                                       metric_registry& metrics) {
    return std::make_shared<http_caller_server>(listen, std::move(workers), limits, metrics);
}

} // namespace oriole::links

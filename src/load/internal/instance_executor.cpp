#include "load/internal/response_reader.h"
#include "load/request_executor.h"

#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace oriole::load {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Added to the deadline of a request, so that a response sent at the deadline still arrives.
constexpr std::chrono::milliseconds response_grace{1000};

constexpr int conflict_status = 409;
constexpr int ok_status = 200;

class instance_executor final : public request_executor {
public:
    instance_executor(const asio::any_io_executor& executor, const load_options& options,
                      const load_account& account, std::size_t session)
        : m_options(options),
          m_account(account),
          m_current_connection(session % options.targets.size()),
          m_random(make_random_source(options.seed * 1'000'003 + session)) {
        for (const auto& target : options.targets) {
            m_connections.push_back(std::make_unique<caller_connection>(executor, target));
        }
    }

    [[nodiscard]] asio::awaitable<execution_result> execute(planned_request request) override {
        http_request message = make_request("/v1/services/" + service_of(request.kind));
        message.set("Idempotency-Key", request.id);
        message.body() = encode_statements(request.statements);
        message.prepare_payload();
        auto& connection = choose_connection();
        const std::chrono::milliseconds limit = m_options.deadline + response_grace;
        const connection_result result = co_await connection.call(std::move(message), limit);
        execution_result response;
        if (result.response) {
            response = read_response(*result.response);
            store_session_token(*result.response);
        } else {
            response.result = result.sent ? outcome::unknown : outcome::not_run;
            response.reason = result.failure;
            switch_to_next_instance();
        }
        response.target = connection.target().str();
        co_return response;
    }

    [[nodiscard]] asio::awaitable<outcome> resolve_outcome(std::string id) override {
        http_request message =
            make_request("/v1/services/" + m_options.services.write + "/outcomes/" + id);
        message.prepare_payload();
        auto& connection = choose_connection();
        const std::chrono::milliseconds limit = m_options.deadline + response_grace;
        const connection_result result = co_await connection.call(std::move(message), limit);
        if (!result.response) {
            switch_to_next_instance();
            co_return outcome::unknown;
        }
        const auto response = read_response(*result.response);
        if (response.status == ok_status && response.result == outcome::done) {
            co_return outcome::done;
        }
        const bool not_run =
            response.status == conflict_status && response.result == outcome::not_run;
        co_return not_run ? outcome::not_run : outcome::unknown;
    }

private:
    [[nodiscard]] const std::string& service_of(request_kind kind) const {
        switch (kind) {
        case request_kind::read:
            return m_options.services.read;
        case request_kind::recent_read:
            return m_options.services.recent;
        case request_kind::write:
        case request_kind::increment:
            break;
        }
        return m_options.services.write;
    }

    [[nodiscard]] http_request make_request(const std::string& path) const {
        http_request message(http::verb::post, path, 11);
        message.set(http::field::host, "oriole");
        message.set(http::field::content_type, "application/json");
        message.set(http::field::authorization, "Bearer " + m_account.key);
        message.set("Oriole-Deadline-Ms", std::to_string(m_options.deadline.count()));
        if (!m_token.empty()) {
            message.set("Oriole-Session", m_token);
        }
        return message;
    }

    caller_connection& choose_connection() {
        if (m_options.roam) {
            m_current_connection = m_random->next() % m_connections.size();
        }
        return *m_connections[m_current_connection];
    }

    /// Called when the instance does not accept a connection or closes it; a load balancer would
    /// also choose another instance.
    void switch_to_next_instance() {
        m_current_connection = (m_current_connection + 1) % m_connections.size();
    }

    void store_session_token(const http_response& response) {
        const auto token = response["Oriole-Session"];
        if (!token.empty()) {
            m_token.assign(token.data(), token.size());
        }
    }

    const load_options& m_options;
    load_account m_account;
    std::vector<std::unique_ptr<caller_connection>> m_connections;
    std::size_t m_current_connection;
    std::unique_ptr<random_source> m_random;
    std::string m_token;
};

class instance_executor_factory final : public request_executor_factory {
public:
    instance_executor_factory(asio::any_io_executor executor, const load_options& options)
        : m_executor(std::move(executor)), m_options(options) {}

    [[nodiscard]] std::unique_ptr<request_executor> make(const load_account& account,
                                                         std::size_t session) override {
        return std::make_unique<instance_executor>(m_executor, m_options, account, session);
    }

private:
    asio::any_io_executor m_executor;
    const load_options& m_options;
};

} // namespace

std::unique_ptr<request_executor_factory>
make_instance_executor_factory(asio::any_io_executor executor, const load_options& options) {
    return std::make_unique<instance_executor_factory>(std::move(executor), options);
}

} // namespace oriole::load

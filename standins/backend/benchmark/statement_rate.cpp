#include "base/errors.h"
#include "links/backend_link.h"
#include "links/backend_pool.h"

#include <boost/asio.hpp>
#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;
namespace links = oriole::links;
using oriole::machines::statement_kind;

constexpr std::chrono::seconds call_timeout{5};
constexpr std::uint64_t row_count = 1000;

struct rate_settings {
    oriole::endpoint server;
    std::uint64_t link_count = 0;
    std::uint64_t depth = 0;
    std::chrono::seconds duration{0};
    bool write = false;
    std::uint64_t term = 0;
    bool pooled = false;
};

/// Measures throughput: sends single-row statements with a fixed number in flight per connection,
/// and counts the answers.
class rate_benchmark {
public:
    explicit rate_benchmark(rate_settings settings)
        : m_settings(std::move(settings)),
          m_end(oriole::steady_clock().now() + m_settings.duration) {}

    void run() {
        if (m_settings.pooled) {
            asio::co_spawn(m_context, run_pool(), asio::detached);
            m_context.run();
            report();
            return;
        }
        for (std::uint64_t i = 0; i < m_settings.link_count; ++i) {
            asio::co_spawn(m_context, run_link(), asio::detached);
        }
        m_context.run();
        report();
    }

private:
    void report() const {
        const auto rate = static_cast<std::int64_t>(m_answered) / m_settings.duration.count();
        std::cout << "answered=" << m_answered << " failed=" << m_failed << " per_second=" << rate
                  << '\n';
    }

    // The pool's maintenance timers run indefinitely, so the context is stopped when all callers
    // are done.
    asio::awaitable<void> run_pool() {
        oriole::machines::backend_server::builder server;
        server.name(oriole::server_name("server")).statement_endpoint(m_settings.server);
        const auto executor = m_context.get_executor();
        m_pool =
            links::make_backend_pool(executor, *m_connector, server.build(), m_settings.link_count);
        m_running_callers = m_settings.link_count * m_settings.depth;
        for (std::uint64_t i = 0; i < m_running_callers; ++i) {
            asio::co_spawn(m_context, call_pool_repeatedly(), asio::detached);
        }
        co_return;
    }

    asio::awaitable<void> call_pool_repeatedly() {
        while (oriole::steady_clock().now() < m_end) {
            links::call_context context;
            context.deadline = oriole::steady_clock().now() + call_timeout;
            links::backend_call call = next_call();
            try {
                count(co_await m_pool->call(std::move(call), std::move(context)));
            } catch (const oriole::error&) {
                ++m_failed;
            }
        }
        if (--m_running_callers == 0) {
            m_context.stop();
        }
    }

    asio::awaitable<void> run_link() {
        std::shared_ptr<links::backend_link> link;
        link = co_await m_connector->connect(m_settings.server,
                                             oriole::steady_clock().now() + call_timeout);
        for (std::uint64_t i = 0; i < m_settings.depth; ++i) {
            asio::co_spawn(m_context, call_repeatedly(link), asio::detached);
        }
    }

    asio::awaitable<void> call_repeatedly(std::shared_ptr<links::backend_link> link) {
        for (;;) {
            const auto now = oriole::steady_clock().now();
            if (now >= m_end) {
                co_return;
            }
            links::backend_call call = next_call();
            const auto result = co_await link->call(std::move(call), now + call_timeout);
            count(result);
        }
    }

    void count(const links::backend_result& result) {
        const bool succeeded = std::holds_alternative<links::execute_answer>(result);
        m_answered += succeeded ? 1 : 0;
        m_failed += succeeded ? 0 : 1;
    }

    links::backend_call next_call() {
        const std::uint64_t number = m_sent++;
        links::execute_request call;
        call.mode = m_settings.write ? links::execute_mode::write : links::execute_mode::read;
        call.term = m_settings.write ? m_settings.term : 0;
        const auto kind = m_settings.write ? statement_kind::put : statement_kind::get;
        const std::string value = m_settings.write ? "value" : "";
        call.statements = {{kind, "row-" + std::to_string(number % row_count), value, 0}};
        if (m_settings.write) {
            call.request_id = "rate-" + std::to_string(number);
        }
        return call;
    }

    rate_settings m_settings;
    oriole::clock::time_point m_end;
    asio::io_context m_context{1};
    std::unique_ptr<links::backend_connector> m_connector = links::make_tcp_backend_connector();
    std::shared_ptr<links::backend_pool> m_pool;
    std::uint64_t m_running_callers = 0;
    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_failed = 0;
};

options::options_description describe_options() {
    options::options_description description(
        "oriole-backend-rate: measures statements/s of one backend server");
    auto add = description.add_options();
    add("help", "show this text");
    add("address", options::value<std::string>()->default_value("127.0.0.1"), "IP address");
    add("port", options::value<std::uint16_t>()->required(), "statement port");
    add("links", options::value<std::uint64_t>()->default_value(4), "connections");
    add("depth", options::value<std::uint64_t>()->default_value(32),
        "requests in flight per connection");
    add("seconds", options::value<std::uint64_t>()->default_value(5), "duration");
    add("write-term", options::value<std::uint64_t>(), "write at this term instead of reading");
    add("pool", "call through the connection pool");
    return description;
}

rate_settings make_settings(const options::variables_map& values) {
    rate_settings settings;
    settings.server =
        oriole::endpoint(values["address"].as<std::string>(), values["port"].as<std::uint16_t>());
    settings.link_count = values["links"].as<std::uint64_t>();
    settings.depth = values["depth"].as<std::uint64_t>();
    settings.duration = std::chrono::seconds(values["seconds"].as<std::uint64_t>());
    settings.write = values.count("write-term") > 0;
    settings.term = settings.write ? values["write-term"].as<std::uint64_t>() : 0;
    settings.pooled = values.count("pool") > 0;
    return settings;
}

} // namespace

int main(int count, char** arguments) {
    try {
        const auto description = describe_options();
        options::variables_map values;
        options::store(options::parse_command_line(count, arguments, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        rate_benchmark(make_settings(values)).run();
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "oriole-backend-rate: " << failure.what() << '\n';
        return 2;
    }
}

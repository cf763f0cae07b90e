#pragma once

#include <utility>

#include "routing/server_channel.h"
#include "routing/service_traffic.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace oriole::routing {

/// Scripted behaviour of a fake server, and what it has received.
struct server_script {
    bool primary = false;
    machines::log_position position{1, 10};
    bool refuses_connections = false;
    /// The connection breaks when the answer to this kind of command is due.
    std::optional<sessions::command_kind> breaks_on;
    std::function<void()> on_break; ///< called when the connection breaks; may change the script
    std::optional<sessions::command_kind>
        rejects; ///< this kind of command is answered as malformed
    std::optional<sessions::command_kind> no_answer_to; ///< this kind of command is never answered
    /// The channel fails with an error that it does not announce, once this kind of command has
    /// run.
    std::optional<sessions::command_kind> fails_on;
    /// The answer to this kind of command is lost, but later answers arrive.
    std::optional<sessions::command_kind> loses_answer_to;
    int busy_statements = 0;       ///< the next callers' statements are refused as busy
    bool fails_statements = false; ///< callers' statements fail
    /// The answer to this kind of command arrives a second time, when nothing is due or in place of
    /// the next answer.
    std::optional<sessions::command_kind> repeats_answer_to;
    bool repeats_when_idle = false;
    /// The repeated answer arrives in place of the next answer to this kind of command only.
    std::optional<sessions::command_kind> repeats_in_place_of;
    clock::duration answer_delay{}; ///< time before each answer
    /// The transaction state in the answers to callers' statements, instead of the actual one.
    std::optional<sessions::transaction_state> claimed_state;
    std::vector<std::string> claimed_status_rows; ///< rows of answers to pause_receiving
    std::string row; ///< of the answers to callers' statements, if not empty
    std::vector<sessions::server_command> received;
    int connections = 0;
    int opened = 0;
    int statements = 0; ///< callers' statements that ran
};

/// Fake servers by name. They answer at once unless their script says otherwise.
class fake_servers final : public server_connector {
public:
    [[nodiscard]] server_script& at(const std::string& name) { return m_scripts[name]; }

    [[nodiscard]] std::shared_ptr<server_channel>
    make_channel(boost::asio::any_io_executor executor) override {
        return std::make_shared<fake_channel>(*this, std::move(executor));
    }

private:
    class fake_channel final : public server_channel {
    public:
        fake_channel(fake_servers& servers, boost::asio::any_io_executor executor)
            : m_servers(servers), m_executor(std::move(executor)) {}

        boost::asio::awaitable<sessions::server_answer> open(connection_request request,
                                                             clock::duration) override {
            m_script = &m_servers.at(request.server.str());
            if (m_script->refuses_connections) {
                throw server_unreachable("fake server refuses the connection");
            }
            ++m_script->connections;
            ++m_script->opened;
            m_open = true;
            co_return sessions::server_answer{};
        }

        boost::asio::awaitable<void> send(std::vector<sessions::server_command> commands,
                                          clock::duration) override {
            for (auto& command : commands) {
                m_script->received.push_back(command);
                m_due.push_back(std::move(command));
            }
            co_return;
        }

        boost::asio::awaitable<sessions::server_answer> receive(clock::duration limit) override {
            if (m_repeat &&
                m_script->repeats_in_place_of.value_or(m_due.front().kind) == m_due.front().kind) {
                co_return *std::exchange(m_repeat, std::nullopt);
            }
            if (m_script->loses_answer_to == m_due.front().kind && m_due.size() > 1) {
                static_cast<void>(answer_to(m_due.front()));
                m_due.pop_front();
            }
            const auto command = m_due.front();
            if (m_script->breaks_on == command.kind) {
                if (m_script->on_break) {
                    m_script->on_break();
                }
                throw server_unreachable("fake server broke the connection");
            }
            if (m_script->no_answer_to == command.kind) {
                boost::asio::steady_timer timer(m_executor, limit);
                co_await timer.async_wait(boost::asio::use_awaitable);
                throw server_timeout("fake server did not answer within the time limit");
            }
            m_due.pop_front();
            if (m_script->fails_on == command.kind) {
                static_cast<void>(answer_to(command));
                throw std::runtime_error("planted");
            }
            if (m_script->answer_delay > clock::duration::zero()) {
                boost::asio::steady_timer timer(m_executor, m_script->answer_delay);
                co_await timer.async_wait(boost::asio::use_awaitable);
            }
            auto answer = answer_to(command);
            if (m_script->repeats_answer_to == command.kind) {
                m_repeat = answer;
            }
            co_return answer;
        }

        bool broken() override { return !m_open; }

        bool error_is_certain() const override { return true; }

        bool needs_confirmation() const override { return false; }

        boost::asio::awaitable<void> confirm(clock::duration) override { co_return; }

        bool has_input() override { return m_repeat && m_script->repeats_when_idle; }

        void close() noexcept override {
            if (m_open) {
                --m_script->connections;
            }
            m_open = false;
        }

    private:
        sessions::server_answer answer_to(const sessions::server_command& command) {
            using sessions::answer_code;
            using sessions::command_kind;
            using sessions::transaction_state;
            sessions::server_answer answer;
            answer.position = m_script->position;
            const bool writes = command.text.starts_with("WRITE");
            if (command.after && *command.after > m_script->position) {
                answer.code = answer_code::lagging;
            } else if ((command.kind == command_kind::begin || writes) && !m_script->primary) {
                answer.code = answer_code::read_only;
            } else if (command.kind == command_kind::begin ||
                       command.kind == command_kind::begin_read) {
                m_state = transaction_state::open;
            } else if (command.kind == command_kind::rollback || command.text == "COMMIT") {
                m_state = transaction_state::none;
            }
            if (command.kind == command_kind::pause_receiving) {
                answer.rows = m_script->claimed_status_rows;
            }
            if (m_script->rejects == command.kind) {
                answer.code = answer_code::malformed;
            } else if (command.kind == command_kind::status ||
                       command.kind == command_kind::pause_receiving) {
                answer.status = {m_script->primary, m_script->position.term(), m_script->position};
            }
            const bool runs_statement = command.kind == command_kind::caller_statement ||
                                        command.kind == command_kind::execute;
            if (runs_statement && m_script->busy_statements > 0) {
                --m_script->busy_statements;
                answer.code = answer_code::busy;
            } else if (runs_statement && m_script->fails_statements) {
                answer.code = answer_code::failed;
            }
            if (runs_statement && answer.code == answer_code::ok) {
                ++m_script->statements;
                answer.signature = std::string("signed-").append(command.text);
                answer.rows = {m_script->row.empty() ? command.text : m_script->row};
            }
            answer.state = runs_statement ? m_script->claimed_state.value_or(m_state) : m_state;
            return answer;
        }

        fake_servers& m_servers;
        boost::asio::any_io_executor m_executor;
        server_script* m_script = nullptr;
        std::deque<sessions::server_command> m_due;
        sessions::transaction_state m_state = sessions::transaction_state::none;
        bool m_open = false;
        std::optional<sessions::server_answer> m_repeat;
    };

    std::map<std::string, server_script> m_scripts;
};

/// Runs the coroutine to its end and returns its value.
template <class Value>
Value run_coroutine(boost::asio::io_context& io, boost::asio::awaitable<Value> work) {
    std::optional<Value> result;
    std::exception_ptr thrown;
    boost::asio::co_spawn(io, std::move(work), [&](std::exception_ptr failure, Value value) {
        thrown = std::move(failure);
        result = std::move(value);
    });
    io.restart();
    io.run();
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    return std::move(*result);
}

inline fleet::registered_server fake_listed(const std::string& name, const std::string& zone) {
    fleet::registered_server server;
    server.id = server_name(name);
    server.service = service_name("db");
    server.address = endpoint("127.0.0.1", 1);
    server.zone = zone_name(zone);
    return server;
}

} // namespace oriole::routing

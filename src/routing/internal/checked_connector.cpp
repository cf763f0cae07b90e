#include <utility>

#include "routing/checked_connector.h"

#include "sessions/answer_matcher.h"
#include "sessions/connection_confirmation.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace oriole::routing {
namespace {

namespace asio = boost::asio;
using sessions::server_answer;

class checked_channel final : public server_channel {
public:
    checked_channel(std::shared_ptr<server_channel> channel, decision_log& log,
                    metric& unexpected_answers, random_source& random)
        : m_channel(std::move(channel)),
          m_log(log),
          m_unexpected_answers(unexpected_answers),
          m_random(random) {}

    asio::awaitable<server_answer> open(connection_request request,
                                        clock::duration limit) override {
        m_server = request.server;
        m_account = request.account;
        server_answer answer;
        try {
            answer = co_await m_channel->open(std::move(request), limit);
        } catch (const unexpected_answer& unexpected) {
            report(unexpected.what());
            throw;
        } catch (const server_unreachable&) {
            throw;
        } catch (const std::exception& failure) {
            give_up(failure);
        }
        if (answer.code == sessions::answer_code::ok &&
            answer.state != sessions::transaction_state::none) {
            reject(to_string(sessions::answer_mismatch::state_impossible));
        }
        co_return answer;
    }

    asio::awaitable<void> send(std::vector<sessions::server_command> commands,
                               clock::duration limit) override {
        if (!m_matcher.answer_due()) {
            throw_if_unusable();
        }
        for (const auto& command : commands) {
            m_matcher.sent(command);
        }
        try {
            co_await m_channel->send(std::move(commands), limit);
        } catch (const server_unreachable&) {
            throw;
        } catch (const std::exception& failure) {
            give_up(failure);
        }
    }

    asio::awaitable<server_answer> receive(clock::duration limit) override {
        server_answer answer;
        try {
            answer = co_await m_channel->receive(limit);
        } catch (const unexpected_answer& unexpected) {
            report(unexpected.what());
            throw;
        } catch (const server_unreachable&) {
            throw;
        } catch (const std::exception& failure) {
            give_up(failure);
        }
        if (const auto mismatch = m_matcher.received(answer)) {
            reject(to_string(*mismatch));
        }
        co_return answer;
    }

    bool broken() override {
        if (m_reported || m_matcher.used_up() || m_matcher.answer_due()) {
            return true;
        }
        if (m_channel->has_input()) {
            report(to_string(sessions::answer_mismatch::no_command_due));
            return true;
        }
        return m_channel->broken();
    }

    bool error_is_certain() const override { return m_matcher.error_is_certain(); }

    bool needs_confirmation() const override { return m_matcher.needs_confirmation(); }

    asio::awaitable<void> confirm(clock::duration limit) override {
        const auto deadline = steady_clock().now() + limit;
        const auto pattern = static_cast<std::uint16_t>(m_random.next());
        auto commands = sessions::confirmation_commands(m_matcher.state(), pattern);
        const auto answers = commands.size();
        try {
            co_await send(std::move(commands), limit);
        } catch (const connection_unusable& unusable) {
            // Unlike here, the callers of send() may take it that nothing has run.
            throw unexpected_answer(unusable.what());
        }
        for (std::size_t i = 0; i < answers; ++i) {
            const auto remaining = deadline - steady_clock().now();
            const auto answer = co_await receive(std::max(remaining, decltype(remaining)::zero()));
            if (answer.code != sessions::answer_code::ok) {
                reject(to_string(sessions::answer_mismatch::confirmation_refused));
            }
        }
        m_matcher.confirmed();
    }

    bool has_input() override { return m_channel->has_input(); }

    void close() noexcept override { m_channel->close(); }

private:
    void throw_if_unusable() {
        if (m_reported || m_channel->has_input()) {
            report(to_string(sessions::answer_mismatch::no_command_due));
            throw connection_unusable("the backend server sent data that answer no command");
        }
        if (m_channel->broken()) {
            throw connection_unusable("the backend server has closed the connection");
        }
    }

    [[noreturn]] void reject(std::string_view reason) {
        report(reason);
        std::string text("the answer is not that of the command that is due: ");
        text.append(reason);
        throw unexpected_answer(text);
    }

    /// After an error that is not the server's, nothing is known of the commands on the way.
    [[noreturn]] void give_up(const std::exception& failure) {
        report(failure.what());
        throw unexpected_answer(std::string("the answer cannot be processed: ") + failure.what());
    }

    /// Logs and counts that the connection is given up, once.
    void report(std::string_view reason) {
        if (std::exchange(m_reported, true)) {
            return;
        }
        m_unexpected_answers.add();
        log_entry line("unexpected_answer");
        line.add("server", m_server.str()).add("account", m_account.str());
        if (const auto id = m_matcher.due_id(); !id.empty()) {
            line.add("request", id);
        }
        line.add("reason", reason).add("outcome", "connection_closed");
        m_log.write(line);
    }

    std::shared_ptr<server_channel> m_channel;
    decision_log& m_log;
    metric& m_unexpected_answers;
    random_source& m_random;
    sessions::answer_matcher m_matcher;
    server_name m_server;
    account_name m_account;
    bool m_reported = false;
};

} // namespace

checked_connector::checked_connector(server_connector& connector, decision_log& log,
                                     metric_registry& metrics)
    : m_connector(connector),
      m_log(log),
      m_unexpected_answers(metrics.get("oriole_unexpected_answers_total")) {}

std::shared_ptr<server_channel> checked_connector::make_channel(asio::any_io_executor executor) {
    return std::make_shared<checked_channel>(m_connector.make_channel(std::move(executor)), m_log,
                                             m_unexpected_answers, *m_random);
}

} // namespace oriole::routing

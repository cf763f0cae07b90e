#include <utility>

#include "entry/internal/server_queries.h"

#include <string>
#include <vector>

namespace oriole::entry {

namespace asio = boost::asio;
using sessions::server_command;

namespace {

query_result result_from(const sessions::server_answer& answer) {
    query_result result;
    result.status = answer.status;
    if (answer.status) {
        result.outcome = query_outcome::answered;
    } else if (answer.code == sessions::answer_code::malformed) {
        result.outcome = query_outcome::refused;
    }
    return result;
}

} // namespace

server_queries::server_queries(asio::any_io_executor executor, routing::server_connector& connector,
                               decision_log& log)
    : m_executor(std::move(executor)), m_connector(connector), m_log(log) {}

asio::awaitable<query_result> server_queries::query(fleet::registered_server server,
                                                    account_name account, server_command command,
                                                    clock::duration step_timeout) {
    const auto channel = m_connector.make_channel(m_executor);
    query_result result;
    bool sent = false;
    std::string failure;
    try {
        routing::connection_request request{server.address, server.service, std::move(account),
                                            server.id};
        const auto opened = co_await channel->open(std::move(request), step_timeout);
        if (opened.code == sessions::answer_code::ok) {
            std::vector<server_command> commands{std::move(command)};
            co_await channel->send(std::move(commands), step_timeout);
            sent = true;
            const auto answer = co_await channel->receive(step_timeout);
            result = result_from(answer);
        }
    } catch (const routing::unexpected_answer& unexpected) {
        failure = unexpected.what();
    } catch (const routing::server_timeout& timeout) {
        failure = timeout.what();
    } catch (const routing::server_unreachable& unreachable) {
        failure = unreachable.what();
        result.outcome = sent ? query_outcome::lost : query_outcome::no_answer;
    }
    channel->close();
    log_answer(server.id, result.status, failure);
    co_return result;
}

void server_queries::log_answer(const server_name& server,
                                const std::optional<sessions::server_status>& status,
                                const std::string& failure) {
    log_entry line("server_status");
    line.add("server", server.str()).add("outcome", status ? "answered" : "no_answer");
    if (status) {
        line.add("primary", status->primary ? 1 : 0)
            .add("term", status->term)
            .add("received", std::to_string(status->received.term()) + "." +
                                 std::to_string(status->received.offset()));
    }
    if (!failure.empty()) {
        line.add("reason", failure);
    }
    m_log.write(line);
}

} // namespace oriole::entry

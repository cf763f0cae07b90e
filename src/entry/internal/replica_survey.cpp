#include <utility>

#include "entry/internal/replica_survey.h"

#include <algorithm>
#include <iterator>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using sessions::command_kind;
using sessions::server_command;

/// Time limit for each step of a query. Replicas answer fast because they are idle when their
/// primary is lost.
constexpr clock::duration query_timeout = 300ms;

server_command make_command(command_kind kind, std::uint64_t term = 0) {
    server_command command;
    command.kind = kind;
    command.term = term;
    return command;
}

} // namespace

replica_survey::replica_survey(fleet_state& fleet, server_queries& queries,
                               server_predicate is_refused, server_predicate has_stepped_down)
    : m_fleet(fleet),
      m_queries(queries),
      m_is_refused(std::move(is_refused)),
      m_has_stepped_down(std::move(has_stepped_down)) {}

asio::awaitable<std::vector<fleet::replica_log>> replica_survey::ask(fleet::primary_change change) {
    auto answered = co_await send(replicas_of(change), make_command(command_kind::status));
    auto old = co_await ask_old_primary(std::move(change));
    std::move(old.begin(), old.end(), std::back_inserter(answered.logs));
    co_return std::move(answered.logs);
}

asio::awaitable<std::vector<fleet::replica_log>>
replica_survey::ask_and_pause(service_name service, fleet::primary_change change) {
    if (change.synchronous_replicas == 0) {
        co_return co_await ask(std::move(change));
    }
    const auto replicas = replicas_of(change);
    const auto asked = co_await send(replicas, make_command(command_kind::status));
    const auto term = std::max(m_fleet.primary_monitor_of(service).term(), asked.highest_term) + 1;
    const auto pause = make_command(command_kind::pause_receiving, term);
    auto paused = co_await send(replicas, pause);
    for (std::size_t i = 0; i < replicas.size(); ++i) {
        if (paused.outcomes[i] == query_outcome::refused ||
            paused.outcomes[i] == query_outcome::lost) {
            paused.logs[i].received =
                co_await received_after(paused.outcomes[i], replicas[i].server, pause);
        }
    }
    auto old = co_await ask_old_primary(std::move(change));
    std::move(old.begin(), old.end(), std::back_inserter(paused.logs));
    co_return std::move(paused.logs);
}

asio::awaitable<std::optional<machines::log_position>>
replica_survey::received_after(query_outcome outcome, fleet::registered_server server,
                               server_command pause) {
    query_result answer;
    answer.outcome = outcome;
    if (outcome == query_outcome::lost) {
        // If the first one has taken effect, the second one only returns the position.
        answer = co_await ask_one(server, std::move(pause));
    }
    if (answer.outcome == query_outcome::refused || answer.outcome == query_outcome::lost) {
        // A position from before the command may lack commits that were acknowledged since.
        answer = co_await ask_one(std::move(server), make_command(command_kind::status));
    }
    co_return answer.status ? std::optional(answer.status->received) : std::nullopt;
}

asio::awaitable<void> replica_survey::resume(fleet::primary_change change) {
    static_cast<void>(
        co_await send(replicas_of(change), make_command(command_kind::resume_receiving)));
}

std::vector<replica_survey::replica>
replica_survey::replicas_of(const fleet::primary_change& change) const {
    std::vector<replica> replicas;
    for (const auto& id : change.candidates) {
        if (auto server = m_fleet.find_server(id)) {
            replicas.push_back({std::move(*server), false});
        }
    }
    if (change.synchronous_replicas == 0) {
        return replicas;
    }
    for (const auto& id : change.leaving) {
        if (auto server = m_fleet.find_server(id)) {
            replicas.push_back({std::move(*server), true});
        }
    }
    for (const auto& server : change.unlisted) {
        replicas.push_back({server, true});
    }
    return replicas;
}

asio::awaitable<std::vector<fleet::replica_log>>
replica_survey::ask_old_primary(fleet::primary_change change) {
    std::vector<fleet::replica_log> logs;
    const auto server = m_fleet.find_known_server(change.from, steady_clock().now());
    if (change.synchronous_replicas == 0 || !server) {
        co_return logs;
    }
    const auto answer = co_await m_queries.query(*server, m_fleet.any_account(),
                                                 make_command(command_kind::status), query_timeout);
    if (answer.status && !answer.status->primary) {
        logs.push_back(
            {change.from, true, answer.status->received, m_has_stepped_down(change.from)});
    }
    co_return logs;
}

asio::awaitable<replica_survey::answers> replica_survey::send(std::vector<replica> replicas,
                                                              server_command command) {
    answers result;
    for (const auto& [server, is_leaving] : replicas) {
        fleet::replica_log log{server.id, is_leaving, std::nullopt, false};
        const auto answer = co_await ask_one(server, command);
        if (answer.status) {
            log.received = answer.status->received;
            result.highest_term = std::max(result.highest_term, answer.status->term);
        }
        result.logs.push_back(std::move(log));
        result.outcomes.push_back(answer.outcome);
    }
    co_return result;
}

asio::awaitable<query_result> replica_survey::ask_one(fleet::registered_server server,
                                                      server_command command) {
    if (m_is_refused(server.id)) {
        co_return query_result{};
    }
    auto answer = co_await m_queries.query(std::move(server), m_fleet.any_account(),
                                           std::move(command), query_timeout);
    co_return answer;
}

} // namespace oriole::entry

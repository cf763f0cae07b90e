#include "load/internal/load_session.h"

#include <utility>

#include <boost/asio.hpp>

namespace oriole::load {
namespace {

namespace asio = boost::asio;

/// Time between attempts to look up an outcome or to read a row back.
constexpr std::chrono::milliseconds retry_interval{100};

constexpr int unauthorized_status = 401;

asio::awaitable<void> wait_before_retry() {
    asio::steady_timer timer(co_await asio::this_coro::executor, retry_interval);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

load_session::load_session(std::string account, std::size_t index, session_plan plan,
                           std::unique_ptr<request_executor> executor, clock::time_point started)
    : m_account(std::move(account)),
      m_index(index),
      m_plan(std::move(plan)),
      m_executor(std::move(executor)),
      m_started(started) {}

asio::awaitable<void> load_session::run(request_kind kind, std::size_t rows, random_source& random,
                                        std::chrono::microseconds intended) {
    planned_request request = m_plan.next(kind, rows, random);
    co_await execute(std::move(request), request_phase::load, intended);
    m_plan.replace_uncertain_rows(m_records.back());
}

asio::awaitable<void> load_session::resolve_unknown_writes(clock::time_point until) {
    for (auto& record : m_records) {
        if (!record.writes() || (record.result && record.result != outcome::unknown)) {
            continue;
        }
        outcome found = co_await m_executor->resolve_outcome(record.id);
        while (found == outcome::unknown && steady_clock().now() < until) {
            co_await wait_before_retry();
            found = co_await m_executor->resolve_outcome(record.id);
        }
        record.resolved = found;
    }
}

asio::awaitable<std::size_t> load_session::read_back(clock::time_point until) {
    std::size_t unread = 0;
    for (const auto& request : m_plan.final_reads()) {
        const auto rows = request.statements.size();
        bool read = co_await execute(request, request_phase::check, now());
        while (!read && steady_clock().now() < until &&
               m_records.back().status != unauthorized_status) {
            co_await wait_before_retry();
            read = co_await execute(request, request_phase::check, now());
        }
        unread += read ? 0 : rows;
    }
    co_return unread;
}

asio::awaitable<bool> load_session::execute(planned_request request, request_phase phase,
                                            std::chrono::microseconds intended) {
    recorded_request record;
    record.id = request.id;
    record.account = m_account;
    record.session = m_index;
    record.phase = phase;
    record.statements = request.statements;
    record.intended = intended;
    record.sent = now();
    execution_result response = co_await m_executor->execute(std::move(request));
    record.answered = now();
    record.target = std::move(response.target);
    record.status = response.status;
    record.result = response.result;
    record.results = std::move(response.results);
    record.by_replica = response.by_replica;
    record.reason = std::move(response.reason);
    m_records.push_back(std::move(record));
    co_return m_records.back().done();
}

std::chrono::microseconds load_session::now() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock().now() - m_started);
}

} // namespace oriole::load

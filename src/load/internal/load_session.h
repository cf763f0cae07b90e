#pragma once

#include "load/request_executor.h"
#include "load/session_plan.h"
#include "load/types/load_result.h"

#include <memory>
#include <vector>

namespace oriole::load {

/// A session of a client account: plans, sends and records its requests, one at a time.
/// Not thread-safe.
class load_session {
public:
    load_session(std::string account, std::size_t index, session_plan plan,
                 std::unique_ptr<request_executor> executor, clock::time_point started);

    /// Sends one request of the load and records it. `intended` is its time in the schedule.
    boost::asio::awaitable<void> run(request_kind kind, std::size_t rows, random_source& random,
                                     std::chrono::microseconds intended);

    /// Looks up the outcomes of the writes whose outcome is unknown, and retries until they are
    /// known or `until` has passed.
    boost::asio::awaitable<void> resolve_unknown_writes(clock::time_point until);

    /// Reads all rows that the session wrote, and retries until `until` has passed. Returns the
    /// number of rows that could not be read.
    boost::asio::awaitable<std::size_t> read_back(clock::time_point until);

    [[nodiscard]] const std::string& account() const noexcept { return m_account; }

    [[nodiscard]] std::vector<recorded_request>& records() noexcept { return m_records; }

private:
    boost::asio::awaitable<bool> execute(planned_request request, request_phase phase,
                                         std::chrono::microseconds intended);
    [[nodiscard]] std::chrono::microseconds now() const;

    std::string m_account;
    std::size_t m_index;
    session_plan m_plan;
    std::unique_ptr<request_executor> m_executor;
    clock::time_point m_started;
    std::vector<recorded_request> m_records;
};

} // namespace oriole::load

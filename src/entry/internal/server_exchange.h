#pragma once

#include <utility>

#include "entry/internal/server_pool.h"
#include "sessions/types/server_order.h"
#include "sessions/types/session_values.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <vector>

namespace oriole::entry {

/// What became of the caller's statement at a server.
enum class exchange_end {
    answered, ///< `answer` is the server's
    not_run,  ///< it was not sent, or the server refused what had to go before it
    broken,   ///< the connection ended after it was sent
    silent    ///< no answer in time after it was sent
};

struct exchange_result {
    exchange_end end = exchange_end::not_run;
    sessions::server_answer answer; ///< of the statement, or of the order that was refused
    clock::time_point asked{};      ///< on the boot time clock, before anything was sent
    int answers_due = 0;            ///< that the server still has to send

    friend bool operator==(const exchange_result&, const exchange_result&) = default;
};

/// What is sent around a caller's statement.
struct exchange_plan {
    sessions::session_values values;
    std::optional<sessions::prepared_shape> shape;
    std::optional<sessions::server_order> opening; ///< a begin
    sessions::server_order statement;
    bool opening_first = false; ///< the statement is sent after the opening was accepted
    bool writes = false;        ///< the statement may change data
    bool rolls_back = false;    ///< a rollback follows; its answer is left due

    friend bool operator==(const exchange_plan&, const exchange_plan&) = default;
};

/// Brings the connection to the session's values, then runs the statement on it. Everything leaves
/// in one write, unless the plan asks to wait for the opening. The connection's alignment follows
/// what the server acknowledged.
[[nodiscard]] boost::asio::awaitable<exchange_result> exchange(server_pool& pool,
                                                               pooled_connection& connection,
                                                               exchange_plan plan,
                                                               clock::duration limit);

} // namespace oriole::entry

#pragma once

#include "machines/types/log_position.h"
#include "sessions/types/answer_code.h"
#include "sessions/types/prepared_shape.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriole::sessions {

enum class order_kind {
    reset, ///< drops values and prepared statements
    set_value,
    prepare,
    begin,
    begin_read,
    rollback,
    caller_statement, ///< text and id as the caller sent them
    execute,          ///< a caller's execute, under the connection's name of the shape
    status,
    step_down
};

/// One message to a backend server.
struct server_order {
    order_kind kind = order_kind::caller_statement;
    std::string id;                              ///< empty for the instance's own orders
    std::string name;                            ///< of the value or the prepared statement
    std::string text;                            ///< the value, the caller's text or its argument
    prepared_shape shape;                        ///< of a prepare
    std::optional<machines::log_position> after; ///< the position that the server must hold
    std::uint64_t term = 0;                      ///< of a step_down

    friend bool operator==(const server_order&, const server_order&) = default;
};

enum class transaction_state { none, open, failed };

/// A server's status row.
struct server_status {
    bool primary = false;
    std::uint64_t term = 0;
    machines::log_position received;

    friend bool operator==(const server_status&, const server_status&) = default;
};

/// A server's whole answer to one order.
struct server_answer {
    answer_code code = answer_code::ok;
    std::vector<std::string> rows;
    std::string signature; ///< of a statement that ran, or the text of an error
    transaction_state state = transaction_state::none;
    std::optional<machines::log_position> position; ///< up to where the server's data reach
    std::optional<server_status> status;            ///< of a status or a step_down

    friend bool operator==(const server_answer&, const server_answer&) = default;
};

} // namespace oriole::sessions

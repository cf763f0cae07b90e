#pragma once

#include "sessions/types/prepared_shape.h"
#include "sessions/types/server_order.h"
#include "sessions/types/session_values.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace oriole::sessions {

/// What a server's connection holds: session values and prepared statements, as acknowledged by the
/// server. Not thread-safe; owned by the connection.
class connection_alignment {
public:
    /// Orders that bring the connection to `wanted`, besides `needed` when it is given. Values that
    /// are not wanted can only be dropped by a reset, which is never ordered inside a transaction;
    /// precondition: there `wanted` has every name that the connection has.
    [[nodiscard]] std::vector<server_order> orders_for(const session_values& wanted,
                                                       const prepared_shape* needed) const;

    /// The orders were sent; until all are acknowledged, what the connection holds is not known.
    void sent(const std::vector<server_order>& orders);

    /// Whether the server has acknowledged all that was sent.
    [[nodiscard]] bool settled() const noexcept { return m_unacknowledged == 0; }

    /// Takes over an order that was sent and that the server has acknowledged.
    void acknowledge(const server_order& order);

    /// Number of orders needed for `wanted`; a reset counts as many. For choosing a connection.
    [[nodiscard]] int distance(const session_values& wanted) const;

    /// The connection's name for a shape: the same on every connection.
    [[nodiscard]] static std::string name_of(const prepared_shape& shape);

private:
    [[nodiscard]] bool needs_reset(const session_values& wanted) const;

    session_values m_values;
    std::set<prepared_shape> m_prepared;
    std::size_t m_unacknowledged = 0;
};

} // namespace oriole::sessions

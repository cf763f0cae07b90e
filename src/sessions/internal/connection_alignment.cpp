#include "sessions/connection_alignment.h"

namespace oriole::sessions {
namespace {

/// A reset drops prepared statements that other sessions use, so any other connection is better.
constexpr int reset_distance = 1000;

/// Above this number of prepared statements a connection is reset, to bound the server's memory.
constexpr std::size_t max_prepared = 256;

server_order set_order(const std::string& name, const std::string& value) {
    server_order order;
    order.kind = order_kind::set_value;
    order.name = name;
    order.text = value;
    return order;
}

} // namespace

std::vector<server_order> connection_alignment::orders_for(const session_values& wanted,
                                                           const prepared_shape* needed) const {
    std::vector<server_order> orders;
    const bool reset = needs_reset(wanted);
    if (reset) {
        server_order order;
        order.kind = order_kind::reset;
        orders.push_back(order);
    }
    for (const auto& [name, value] : wanted) {
        const auto held = m_values.find(name);
        if (reset || held == m_values.end() || held->second != value) {
            orders.push_back(set_order(name, value));
        }
    }
    if (needed != nullptr && (reset || !m_prepared.contains(*needed))) {
        server_order order;
        order.kind = order_kind::prepare;
        order.name = name_of(*needed);
        order.shape = *needed;
        orders.push_back(order);
    }
    return orders;
}

void connection_alignment::sent(const std::vector<server_order>& orders) {
    m_unacknowledged += orders.size();
}

void connection_alignment::acknowledge(const server_order& order) {
    m_unacknowledged -= m_unacknowledged > 0 ? 1 : 0;
    if (order.kind == order_kind::reset) {
        m_values.clear();
        m_prepared.clear();
    } else if (order.kind == order_kind::set_value) {
        m_values[order.name] = order.text;
    } else if (order.kind == order_kind::prepare) {
        m_prepared.insert(order.shape);
    }
}

int connection_alignment::distance(const session_values& wanted) const {
    if (needs_reset(wanted)) {
        return reset_distance;
    }
    int missing = 0;
    for (const auto& [name, value] : wanted) {
        const auto held = m_values.find(name);
        missing += held == m_values.end() || held->second != value ? 1 : 0;
    }
    return missing;
}

std::string connection_alignment::name_of(const prepared_shape& shape) {
    return (shape.writes ? "w-" : "r-") + shape.shape;
}

bool connection_alignment::needs_reset(const session_values& wanted) const {
    if (m_prepared.size() >= max_prepared) {
        return true;
    }
    for (const auto& [name, value] : m_values) {
        if (!wanted.contains(name)) {
            return true;
        }
    }
    return false;
}

} // namespace oriole::sessions

#include "links/internal/pooled_backend_pool.h"

namespace oriole::links {

connection_wait_queue::connection_wait_queue(std::size_t max_length)
    : m_queue(contracts::make_fair_admission_queue(max_length)) {}

bool connection_wait_queue::enqueue(const call_context& context, clock::time_point now,
                                    waiter& new_waiter) {
    const contracts::admission_request request{context.account, context.account_weight,
                                               context.cost, context.deadline};
    const auto ticket = m_queue->enqueue(request, now);
    if (ticket) {
        m_waiters.emplace(*ticket, std::move(new_waiter));
    }
    fail_expired(now);
    return ticket.has_value();
}

bool connection_wait_queue::assign_next(const connection& available, clock::time_point now) {
    const auto ticket = m_queue->take(now);
    if (!ticket) {
        return false;
    }
    const auto found = m_waiters.find(*ticket);
    const waiter next = std::move(found->second);
    m_waiters.erase(found);
    next->complete_later(nullptr, available);
    return true;
}

void connection_wait_queue::fail_expired(clock::time_point now) {
    for (const contracts::admission_ticket ticket : m_queue->take_dropped(now)) {
        const auto found = m_waiters.find(ticket);
        const waiter expired = std::move(found->second);
        m_waiters.erase(found);
        const not_admitted failure("the backend server cannot serve the request in time");
        expired->complete_later(std::make_exception_ptr(failure), nullptr);
    }
}

void connection_wait_queue::refuse_all(clock::time_point now, const std::string& reason) {
    while (const auto ticket = m_queue->take(now)) {
        const auto found = m_waiters.find(*ticket);
        const waiter refused = std::move(found->second);
        m_waiters.erase(found);
        refused->complete_later(std::make_exception_ptr(not_admitted(reason)), nullptr);
    }
    fail_expired(now);
}

} // namespace oriole::links

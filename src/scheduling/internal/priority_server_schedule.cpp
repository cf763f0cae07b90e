#include "scheduling/internal/execution_times.h"
#include "scheduling/server_schedule.h"
#include "scheduling/slot_limit.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace oriole::scheduling {
namespace {

using contracts::admission_ticket;
using std::chrono::milliseconds;

/// Bounds the memory of one server's queue. Statements that cannot start in time are refused long
/// before it is full.
constexpr std::size_t max_waiting = 512;
/// A slot is reserved for urgent statements this long after the last of them.
constexpr clock::duration urgent_window = std::chrono::seconds(1);
/// Smallest limit that leaves a slot in reserve without giving up a large part of the server.
constexpr std::size_t min_limit_with_reserve = 3;
/// Assumed execution time before the first answer, and the unit of the costs in the queue.
constexpr clock::duration typical_execution_time = milliseconds(20);

class priority_server_schedule final : public server_schedule {
public:
    explicit priority_server_schedule(int slots)
        : m_limit(make_adaptive_slot_limit(slots)),
          m_queue(contracts::make_fair_admission_queue(max_waiting)) {}

    void set_slots(int slots) override { m_limit->set_slots(slots); }

    [[nodiscard]] bool may_start(int priority, clock::time_point now) const override {
        return m_queue->size() == 0 && slot_is_free(priority, now);
    }

    void start(int priority, clock::time_point now) override {
        m_last_arrival[priority] = now;
        ++m_counts[priority].started;
        ++m_running;
    }

    [[nodiscard]] std::optional<admission_ticket> enqueue(const statement_claim& claim,
                                                          clock::time_point now) override {
        m_last_arrival[claim.priority] = now;
        contracts::admission_request request;
        request.account = claim.account;
        request.cost = expected_cost(claim.priority);
        request.deadline = claim.latest_start;
        request.priority = claim.priority;
        const auto ticket = m_queue->enqueue(request, now);
        if (!ticket) {
            ++m_counts[claim.priority].refused_ahead;
            return std::nullopt;
        }
        m_waiting.emplace(*ticket, waiting_statement{claim.priority, now});
        return ticket;
    }

    [[nodiscard]] std::optional<admission_ticket>
    start_next(clock::time_point now, const std::set<account_name>& connected) override {
        const auto least_urgent = least_urgent_to_start(now);
        if (!least_urgent) {
            return std::nullopt;
        }
        const auto ticket = m_queue->take(now, *least_urgent, connected);
        if (!ticket) {
            return std::nullopt;
        }
        const auto found = m_waiting.find(*ticket);
        auto& counts = m_counts[found->second.priority];
        ++counts.started;
        counts.waited += now - found->second.since;
        m_waiting.erase(found);
        ++m_running;
        return ticket;
    }

    [[nodiscard]] std::vector<admission_ticket> take_refused(clock::time_point now) override {
        auto refused = m_queue->take_dropped(now);
        for (const auto ticket : refused) {
            const auto found = m_waiting.find(ticket);
            ++m_counts[found->second.priority].refused_waited;
            m_waiting.erase(found);
        }
        return refused;
    }

    [[nodiscard]] std::vector<admission_ticket> clear(clock::time_point now) override {
        auto cleared = take_refused(now);
        while (const auto ticket = m_queue->take(now)) {
            const auto found = m_waiting.find(*ticket);
            ++m_counts[found->second.priority].refused_waited;
            m_waiting.erase(found);
            cleared.push_back(*ticket);
        }
        const auto late = take_refused(now);
        cleared.insert(cleared.end(), late.begin(), late.end());
        return cleared;
    }

    void finish(int priority, statement_end end, clock::duration time,
                clock::time_point now) override {
        const auto running = m_running--;
        if (end == statement_end::refused) {
            ++m_counts[priority].refused_by_server;
            m_limit->refused(running, now);
        }
        if (end != statement_end::answered) {
            return;
        }
        m_times.add(priority, time, now);
        if (m_times.slowed(priority)) {
            m_limit->slowed(now);
        } else {
            m_limit->answered(running);
        }
    }

    [[nodiscard]] std::size_t waiting() const noexcept override { return m_queue->size(); }

    [[nodiscard]] schedule_counts take_counts() override { return std::exchange(m_counts, {}); }

private:
    struct waiting_statement {
        int priority = 0;
        clock::time_point since{};
    };

    [[nodiscard]] double expected_cost(int priority) const {
        const auto time = m_times.expected(priority).value_or(typical_execution_time);
        return static_cast<double>(time.count()) /
               static_cast<double>(typical_execution_time.count());
    }

    /// Returns whether a slot is kept free for more urgent statements that are shorter.
    [[nodiscard]] bool has_reserve_against(int priority, clock::time_point now) const {
        return m_limit->limit() >= min_limit_with_reserve &&
               std::any_of(m_last_arrival.begin(), m_last_arrival.lower_bound(priority),
                           [&](const auto& urgent) {
                               return now - urgent.second < urgent_window &&
                                      expected_cost(urgent.first) <= expected_cost(priority);
                           });
    }

    [[nodiscard]] bool slot_is_free(int priority, clock::time_point now) const {
        const std::size_t reserve = has_reserve_against(priority, now) ? 1 : 0;
        return m_running + reserve < m_limit->limit();
    }

    [[nodiscard]] std::optional<int> least_urgent_to_start(clock::time_point now) const {
        std::optional<int> least_urgent;
        for (const auto& [priority, last_arrival] : m_last_arrival) {
            if (slot_is_free(priority, now)) {
                least_urgent = priority;
            }
        }
        return least_urgent;
    }

    std::unique_ptr<slot_limit> m_limit;
    std::unique_ptr<contracts::admission_queue> m_queue;
    std::unordered_map<admission_ticket, waiting_statement> m_waiting;
    std::map<int, clock::time_point> m_last_arrival; ///< by priority
    execution_times m_times;
    std::size_t m_running = 0;
    schedule_counts m_counts;
};

} // namespace

std::unique_ptr<server_schedule> make_priority_server_schedule(int slots) {
    return std::make_unique<priority_server_schedule>(slots);
}

} // namespace oriole::scheduling

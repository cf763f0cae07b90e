#include "contracts/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <unordered_map>
#include <utility>

namespace oriole::contracts {
namespace {

/// Weight of a new sample in the exponential averages, which cover about the last twenty samples.
constexpr double smoothing_factor = 0.05;

/// Limits of account weights and request costs. Values outside them would make a round of deficit
/// round robin very long or endless.
constexpr double min_weight = 0.01;
constexpr double max_weight = 1000.0;
constexpr double min_cost = 0.001;

double smooth(double average, double sample) {
    return average == 0 ? sample : average + smoothing_factor * (sample - average);
}

clock::duration nanoseconds(double count) {
    return clock::duration(static_cast<clock::duration::rep>(count));
}

class fair_admission_queue final : public admission_queue {
public:
    explicit fair_admission_queue(std::size_t max_length) : m_max_length(max_length) {}

    [[nodiscard]] std::optional<admission_ticket> enqueue(const admission_request& request,
                                                          clock::time_point now) override {
        drop_late_fronts(now);
        if (now + predicted_wait(request) >= request.deadline) {
            return std::nullopt;
        }
        if (m_size >= m_max_length && !displace_for_account(request.account)) {
            return std::nullopt;
        }
        account_queue& queue = find_or_add_queue(request);
        const admission_ticket ticket = m_next_ticket++;
        const double cost = std::max(request.cost, min_cost);
        queue.entries.push_back({ticket, cost, request.deadline});
        queue.cost += cost;
        m_total_cost += cost;
        ++m_size;
        return ticket;
    }

    [[nodiscard]] std::optional<admission_ticket> take(clock::time_point now) override {
        while (!m_active.empty()) {
            account_queue& queue = m_active.front();
            drop_late(queue, now);
            if (queue.entries.empty()) {
                remove_front();
                continue;
            }
            if (!std::exchange(m_turn_started, true)) {
                queue.deficit += queue.weight;
            }
            if (queue.deficit < queue.entries.front().cost) {
                m_active.splice(m_active.end(), m_active, m_active.begin());
                m_turn_started = false;
                continue;
            }
            return dequeue_front(queue, now);
        }
        m_last_take.reset();
        return std::nullopt;
    }

    [[nodiscard]] std::vector<admission_ticket> take_dropped(clock::time_point now) override {
        for (account_queue& queue : m_active) {
            drop_expired(queue, now);
        }
        return std::exchange(m_dropped, {});
    }

    void served(clock::duration duration) override {
        m_service_time = smooth(m_service_time, static_cast<double>(duration.count()));
    }

    [[nodiscard]] std::size_t size() const noexcept override { return m_size; }

private:
    struct entry {
        admission_ticket ticket = 0;
        double cost = 0;
        clock::time_point deadline;
    };

    struct account_queue {
        account_name account;
        double weight = 1;
        double deficit = 0;
        double cost = 0;
        std::deque<entry> entries;
    };

    // Estimates the waiting time from the work queued before the request: at most the whole queue,
    // or the account's own queue at its portion of the service rate if that is quicker. When
    // nothing is queued the wait is zero, so that the request is tried and a wrong estimate gets
    // corrected by new measurements.
    [[nodiscard]] clock::duration predicted_wait(const admission_request& request) const {
        if (m_size == 0) {
            return clock::duration(0);
        }
        double weights = 0;
        double own_cost = 0;
        const double own_weight = std::clamp(request.account_weight, min_weight, max_weight);
        for (const account_queue& queue : m_active) {
            const bool own = queue.account == request.account;
            own_cost = own ? queue.cost : own_cost;
            weights += own ? 0 : queue.weight;
        }
        const double own_time = own_cost * (weights + own_weight) / own_weight;
        return nanoseconds(std::min(m_total_cost, own_time) * m_time_per_cost + m_service_time);
    }

    account_queue& find_or_add_queue(const admission_request& request) {
        const auto found = m_accounts.find(request.account);
        if (found != m_accounts.end()) {
            return *found->second;
        }
        m_active.push_back({request.account, 1, 0, 0, {}});
        m_active.back().weight = std::clamp(request.account_weight, min_weight, max_weight);
        m_accounts.emplace(request.account, std::prev(m_active.end()));
        return m_active.back();
    }

    // Drops the newest request of the account with the most queued cost for its weight. Returns
    // false if the arriving request belongs to that account.
    [[nodiscard]] bool displace_for_account(const account_name& arriving) {
        const auto longest = std::max_element(m_active.begin(), m_active.end(),
                                              [](const account_queue& a, const account_queue& b) {
                                                  return a.cost / a.weight < b.cost / b.weight;
                                              });
        if (longest == m_active.end() || longest->account == arriving) {
            return false;
        }
        const entry displaced = longest->entries.back();
        longest->entries.pop_back();
        m_dropped.push_back(displaced.ticket);
        subtract_entry(*longest, displaced);
        return true;
    }

    // Serving a request that misses its deadline anyway takes time from other requests. The only
    // queued request is tried as long as its deadline has not passed.
    [[nodiscard]] bool cannot_finish_in_time(const entry& waiting, clock::time_point now) const {
        const auto needed = m_size > 1 ? nanoseconds(m_service_time) : clock::duration(0);
        return now + needed >= waiting.deadline;
    }

    void drop_late(account_queue& queue, clock::time_point now) {
        while (!queue.entries.empty() && cannot_finish_in_time(queue.entries.front(), now)) {
            const entry late = queue.entries.front();
            queue.entries.pop_front();
            m_dropped.push_back(late.ticket);
            subtract_entry(queue, late);
        }
    }

    void drop_late_fronts(clock::time_point now) {
        for (account_queue& queue : m_active) {
            drop_late(queue, now);
        }
    }

    void drop_expired(account_queue& queue, clock::time_point now) {
        std::erase_if(queue.entries, [&](const entry& waiting) {
            if (waiting.deadline > now) {
                return false;
            }
            m_dropped.push_back(waiting.ticket);
            subtract_entry(queue, waiting);
            return true;
        });
    }

    [[nodiscard]] admission_ticket dequeue_front(account_queue& queue, clock::time_point now) {
        const entry next = queue.entries.front();
        queue.entries.pop_front();
        queue.deficit -= next.cost;
        subtract_entry(queue, next);
        if (queue.entries.empty()) {
            remove_front();
        }
        update_time_per_cost(next.cost, now);
        return next.ticket;
    }

    void update_time_per_cost(double cost, clock::time_point now) {
        if (m_last_take) {
            const auto interval = static_cast<double>((now - *m_last_take).count());
            m_time_per_cost = smooth(m_time_per_cost, interval / cost);
        }
        m_last_take = now;
        if (m_size == 0) {
            m_last_take.reset();
        }
    }

    void subtract_entry(account_queue& queue, const entry& removed) {
        queue.cost -= removed.cost;
        m_total_cost -= removed.cost;
        --m_size;
    }

    // Removes the account that has its turn, with its deficit, so that an idle account cannot
    // accumulate credit.
    void remove_front() {
        m_accounts.erase(m_active.front().account);
        m_active.pop_front();
        m_turn_started = false;
    }

    std::size_t m_max_length;
    std::list<account_queue> m_active; ///< in round-robin order; the first has its turn
    std::unordered_map<account_name, std::list<account_queue>::iterator> m_accounts;
    std::vector<admission_ticket> m_dropped;
    bool m_turn_started = false;
    std::size_t m_size = 0;
    double m_total_cost = 0;
    double m_time_per_cost = 0; ///< average ns between dequeued requests, per unit of cost
    double m_service_time = 0;  ///< average ns from dequeuing a request to its answer
    std::optional<clock::time_point> m_last_take;
    admission_ticket m_next_ticket = 1;
};

} // namespace

std::unique_ptr<admission_queue> make_fair_admission_queue(std::size_t max_length) {
    return std::make_unique<fair_admission_queue>(max_length);
}

} // namespace oriole::contracts

#include "contracts/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <map>
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

/// Part of the work served in its place that a passed-over priority earns as a claim to its next
/// turn, so that it is not starved.
constexpr double passed_over_credit = 0.1;

/// Work by which an account that is preferred may be ahead of its portion.
constexpr double max_advance = 4.0;

double smooth(double average, double sample) {
    return average == 0 ? sample : average + smoothing_factor * (sample - average);
}

clock::duration nanoseconds(double count) {
    return clock::duration(static_cast<clock::duration::rep>(count));
}

struct queue_entry {
    admission_ticket ticket = 0;
    double cost = 0;
    clock::time_point deadline;
};

struct account_queue {
    account_name account;
    double weight = 1;
    double deficit = 0;
    double cost = 0;
    std::deque<queue_entry> entries; ///< by deadline
};

/// The waiting requests of one priority.
class priority_band {
public:
    void add(const admission_request& request, const queue_entry& entry) {
        account_queue& queue = find_or_add_queue(request);
        const auto later =
            std::upper_bound(queue.entries.begin(), queue.entries.end(), entry.deadline,
                             [](clock::time_point deadline, const queue_entry& other) {
                                 return deadline < other.deadline;
                             });
        queue.entries.insert(later, entry);
        queue.cost += entry.cost;
        m_cost += entry.cost;
        ++m_size;
    }

    /// Removes and returns the request whose turn it is. Precondition: not empty, and no account's
    /// queue is empty.
    [[nodiscard]] queue_entry take(const std::set<account_name>& preferred) {
        const auto ahead = std::find_if(m_active.begin(), m_active.end(), [&](const auto& queue) {
            return preferred.contains(queue.account) &&
                   queue.deficit + max_advance >= queue.entries.front().cost;
        });
        if (ahead != m_active.end()) {
            return take_front(*ahead);
        }
        while (true) {
            account_queue& queue = m_active.front();
            if (!std::exchange(m_turn_started, true)) {
                queue.deficit += queue.weight;
            }
            if (queue.deficit >= queue.entries.front().cost) {
                return take_front(queue);
            }
            m_active.splice(m_active.end(), m_active, m_active.begin());
            m_turn_started = false;
        }
    }

    /// Removes the request with the latest deadline of the account with the most queued cost for
    /// its weight. Returns none if that account is `spared`, which may be null.
    [[nodiscard]] std::optional<queue_entry> displace(const account_name* spared) {
        const auto longest = std::max_element(m_active.begin(), m_active.end(),
                                              [](const account_queue& a, const account_queue& b) {
                                                  return a.cost / a.weight < b.cost / b.weight;
                                              });
        if (longest == m_active.end() || (spared != nullptr && longest->account == *spared)) {
            return std::nullopt;
        }
        const queue_entry displaced = longest->entries.back();
        longest->entries.pop_back();
        subtract(*longest, displaced);
        remove_empty_queues();
        return displaced;
    }

    /// Removes the requests whose deadline is at or before `time` and appends their tickets to
    /// `dropped`.
    void drop_due(clock::time_point time, std::vector<admission_ticket>& dropped) {
        for (account_queue& queue : m_active) {
            while (!queue.entries.empty() && queue.entries.front().deadline <= time) {
                dropped.push_back(queue.entries.front().ticket);
                subtract(queue, queue.entries.front());
                queue.entries.pop_front();
            }
        }
        remove_empty_queues();
    }

    /// The work that is served before a new request of the account: at most the whole band, or the
    /// account's own queue at its portion of the service rate if that is less.
    [[nodiscard]] double cost_before(const admission_request& request) const {
        double weights = 0;
        double own_cost = 0;
        const double own_weight = std::clamp(request.account_weight, min_weight, max_weight);
        for (const account_queue& queue : m_active) {
            const bool own = queue.account == request.account;
            own_cost = own ? queue.cost : own_cost;
            weights += own ? 0 : queue.weight;
        }
        return std::min(m_cost, own_cost * (weights + own_weight) / own_weight);
    }

    void add_credit(double cost) { m_credit += passed_over_credit * cost; }

    /// Returns whether the band has been passed over for long enough to be next.
    [[nodiscard]] bool credit_covers_next() const {
        return m_credit >= m_active.front().entries.front().cost;
    }

    void spend_credit(double cost) { m_credit = std::max(m_credit - cost, 0.0); }

    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

    [[nodiscard]] double cost() const noexcept { return m_cost; }

private:
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

    [[nodiscard]] queue_entry take_front(account_queue& queue) {
        const queue_entry next = queue.entries.front();
        queue.entries.pop_front();
        queue.deficit -= next.cost;
        subtract(queue, next);
        if (queue.entries.empty()) {
            remove_empty_queues();
        }
        return next;
    }

    void subtract(account_queue& queue, const queue_entry& removed) {
        queue.cost -= removed.cost;
        m_cost -= removed.cost;
        --m_size;
    }

    // Removes accounts without requests, with their deficit, so that an idle account cannot
    // accumulate credit.
    void remove_empty_queues() {
        for (auto at = m_active.begin(); at != m_active.end();) {
            if (!at->entries.empty()) {
                ++at;
                continue;
            }
            m_turn_started = m_turn_started && at != m_active.begin();
            m_accounts.erase(at->account);
            at = m_active.erase(at);
        }
    }

    std::list<account_queue> m_active; ///< in round-robin order; the first has its turn
    std::unordered_map<account_name, std::list<account_queue>::iterator> m_accounts;
    bool m_turn_started = false;
    std::size_t m_size = 0;
    double m_cost = 0;
    double m_credit = 0;
};

class fair_admission_queue final : public admission_queue {
public:
    using admission_queue::take;

    explicit fair_admission_queue(std::size_t max_length) : m_max_length(max_length) {}

    [[nodiscard]] std::optional<admission_ticket> enqueue(const admission_request& request,
                                                          clock::time_point now) override {
        drop_late(now);
        if (now + predicted_wait(request) >= request.deadline) {
            return std::nullopt;
        }
        if (size() >= m_max_length && !displace_for(request)) {
            return std::nullopt;
        }
        const admission_ticket ticket = m_next_ticket++;
        m_bands[request.priority].add(request,
                                      {ticket, std::max(request.cost, min_cost), request.deadline});
        return ticket;
    }

    [[nodiscard]] std::optional<admission_ticket>
    take(clock::time_point now, int least_urgent,
         const std::set<account_name>& preferred) override {
        drop_late(now);
        const auto next = next_band(least_urgent);
        if (next == m_bands.end()) {
            reset_if_empty();
            return std::nullopt;
        }
        const queue_entry taken = next->second.take(preferred);
        for (auto passed = std::next(next); passed != m_bands.end(); ++passed) {
            passed->second.add_credit(taken.cost);
        }
        if (next != m_bands.begin()) {
            next->second.spend_credit(taken.cost);
        }
        if (next->second.empty()) {
            m_bands.erase(next);
        }
        update_time_per_cost(taken.cost, now);
        return taken.ticket;
    }

    [[nodiscard]] std::vector<admission_ticket> take_dropped(clock::time_point now) override {
        drop_due(now);
        return std::exchange(m_dropped, {});
    }

    void served(clock::duration duration) override {
        m_service_time = smooth(m_service_time, static_cast<double>(duration.count()));
    }

    [[nodiscard]] std::size_t size() const noexcept override {
        std::size_t size = 0;
        for (const auto& [priority, band] : m_bands) {
            size += band.size();
        }
        return size;
    }

private:
    using band_map = std::map<int, priority_band>;

    // Estimates the waiting time from the work that is served before the request. When nothing is
    // queued the wait is zero, so that the request is tried and a wrong estimate gets corrected by
    // new measurements.
    [[nodiscard]] clock::duration predicted_wait(const admission_request& request) const {
        if (m_bands.empty()) {
            return clock::duration(0);
        }
        double cost = 0;
        const auto own = m_bands.lower_bound(request.priority);
        for (auto band = m_bands.begin(); band != own; ++band) {
            cost += band->second.cost();
        }
        if (own != m_bands.end() && own->first == request.priority) {
            cost += own->second.cost_before(request);
        }
        return nanoseconds(cost * m_time_per_cost + m_service_time);
    }

    /// Drops a request to make room for the arriving one: one of the lowest priority, if that is
    /// lower than the arriving one's, or one of an account with more queued work.
    [[nodiscard]] bool displace_for(const admission_request& arriving) {
        const auto lowest = std::prev(m_bands.end());
        if (lowest->first < arriving.priority) {
            return false;
        }
        const bool equal = lowest->first == arriving.priority;
        const auto displaced = lowest->second.displace(equal ? &arriving.account : nullptr);
        if (!displaced) {
            return false;
        }
        m_dropped.push_back(displaced->ticket);
        if (lowest->second.empty()) {
            m_bands.erase(lowest);
        }
        return true;
    }

    /// The most urgent band, or a less urgent one that has been passed over for long enough.
    [[nodiscard]] band_map::iterator next_band(int least_urgent) {
        const auto end = m_bands.upper_bound(least_urgent);
        if (end == m_bands.begin()) {
            return m_bands.end();
        }
        const auto due = std::find_if(std::next(m_bands.begin()), end, [](const auto& band) {
            return band.second.credit_covers_next();
        });
        return due == end ? m_bands.begin() : due;
    }

    // Serving a request that misses its deadline anyway takes time from other requests. The only
    // queued request is tried as long as its deadline has not passed.
    void drop_late(clock::time_point now) {
        const auto needed = size() > 1 ? nanoseconds(m_service_time) : clock::duration(0);
        drop_due(now + needed);
    }

    void drop_due(clock::time_point time) {
        for (auto& [priority, band] : m_bands) {
            band.drop_due(time, m_dropped);
        }
        std::erase_if(m_bands, [](const auto& band) { return band.second.empty(); });
    }

    void update_time_per_cost(double cost, clock::time_point now) {
        if (m_last_take) {
            const auto interval = static_cast<double>((now - *m_last_take).count());
            m_time_per_cost = smooth(m_time_per_cost, interval / cost);
        }
        m_last_take = now;
        reset_if_empty();
    }

    // The time until the next request arrives says nothing about the service rate.
    void reset_if_empty() {
        if (m_bands.empty()) {
            m_last_take.reset();
        }
    }

    std::size_t m_max_length;
    band_map m_bands; ///< by priority; none is empty
    std::vector<admission_ticket> m_dropped;
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

#include "load/rate_excess.h"

#include <algorithm>
#include <utility>

namespace oriole::load {
namespace {

using std::chrono::microseconds;

/// A segment tree over a list of numbers: adds an amount to all positions from a given one to the
/// end and gives the maximum from a position to the end, each in logarithmic time.
class suffix_maximum {
public:
    explicit suffix_maximum(const std::vector<double>& values) {
        while (m_leaves < values.size()) {
            m_leaves *= 2;
        }
        m_maxima.assign(2 * m_leaves, lowest);
        m_pending_additions.assign(2 * m_leaves, 0);
        std::copy(values.begin(), values.end(),
                  m_maxima.begin() + static_cast<std::ptrdiff_t>(m_leaves));
        for (std::size_t node = m_leaves - 1; node > 0; --node) {
            m_maxima[node] = std::max(m_maxima[2 * node], m_maxima[2 * node + 1]);
        }
    }

    void add_to_suffix(std::size_t first, double amount) {
        std::size_t node = m_leaves + first;
        m_maxima[node] += amount;
        for (; node > 1; node /= 2) {
            const bool left = node % 2 == 0;
            if (left) {
                m_maxima[node + 1] += amount;
                m_pending_additions[node + 1] += amount;
            }
            const std::size_t parent = node / 2;
            m_maxima[parent] = std::max(m_maxima[2 * parent], m_maxima[2 * parent + 1]) +
                               m_pending_additions[parent];
        }
    }

    /// The maximum over the positions from `first` to the end.
    [[nodiscard]] double maximum_from(std::size_t first) const {
        return maximum_from(first, 1, 0, m_leaves);
    }

private:
    [[nodiscard]] double maximum_from(std::size_t first, std::size_t node, std::size_t begin,
                                      std::size_t end) const {
        if (end <= first) {
            return lowest;
        }
        if (begin >= first) {
            return m_maxima[node];
        }
        const std::size_t middle = (begin + end) / 2;
        return m_pending_additions[node] + std::max(maximum_from(first, 2 * node, begin, middle),
                                                    maximum_from(first, 2 * node + 1, middle, end));
    }

    static constexpr double lowest = -1e300;

    std::size_t m_leaves = 1;
    std::vector<double> m_maxima;
    std::vector<double> m_pending_additions;
};

double seconds(microseconds time) {
    return static_cast<double>(time.count()) / 1e6;
}

/// Sets the end of the interval that starts at `worst.from`, and its number of requests, so that
/// the excess is largest.
void find_end(const std::vector<const recorded_request*>& by_end, const rate_limit& limit,
              rate_interval& worst) {
    std::size_t count = 0;
    double best = -1;
    for (const auto* request : by_end) {
        if (request->sent < worst.from) {
            continue;
        }
        ++count;
        const double above =
            static_cast<double>(count) - limit.per_second * seconds(request->answered - worst.from);
        if (above > best) {
            best = above;
            worst.to = request->answered;
            worst.requests = count;
        }
    }
}

} // namespace

rate_interval find_rate_excess(const std::vector<const recorded_request*>& done,
                               const rate_limit& limit) {
    if (done.empty()) {
        return {};
    }
    auto by_end = done;
    std::sort(by_end.begin(), by_end.end(),
              [](const auto* a, const auto* b) { return a->answered < b->answered; });
    std::vector<double> values;
    std::vector<std::pair<microseconds, std::size_t>> starts;
    for (std::size_t i = 0; i < by_end.size(); ++i) {
        values.push_back(-limit.per_second * seconds(by_end[i]->answered));
        starts.emplace_back(by_end[i]->sent, i);
    }
    std::sort(starts.rbegin(), starts.rend());
    suffix_maximum counts(values);
    rate_interval worst{{}, {}, 0, -limit.burst};
    std::size_t first_end = by_end.size();
    for (const auto& [start, position] : starts) {
        while (first_end > 0 && by_end[first_end - 1]->answered >= start) {
            --first_end;
        }
        counts.add_to_suffix(position, 1);
        const double excess =
            counts.maximum_from(first_end) + limit.per_second * seconds(start) - limit.burst;
        if (excess > worst.excess) {
            worst = {start, {}, 0, excess};
        }
    }
    const bool found = worst.excess > -limit.burst;
    if (found) {
        find_end(by_end, limit, worst);
    }
    return worst;
}

} // namespace oriole::load

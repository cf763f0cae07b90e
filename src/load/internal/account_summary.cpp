#include "load/account_summary.h"

#include <algorithm>

namespace oriole::load {
namespace {

using std::chrono::microseconds;

constexpr int over_rate_status = 429;

/// A token bucket with the full rate and burst of an account; admits everything without a limit.
class token_bucket {
public:
    explicit token_bucket(const std::optional<rate_limit>& limit) : m_limit(limit) {
        m_tokens = limit ? limit->burst : 0;
    }

    bool admit(microseconds now) {
        if (!m_limit) {
            return true;
        }
        const double elapsed_s = static_cast<double>((now - m_last).count()) / 1e6;
        m_tokens = std::min(m_limit->burst, m_tokens + elapsed_s * m_limit->per_second);
        m_last = now;
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    std::optional<rate_limit> m_limit;
    double m_tokens = 0;
    microseconds m_last{0};
};

std::vector<const recorded_request*> requests_of(const recorded_history& history,
                                                 const std::string& account) {
    std::vector<const recorded_request*> requests;
    for (const auto& request : history.requests) {
        if (request.account == account && request.phase == request_phase::load) {
            requests.push_back(&request);
        }
    }
    std::sort(requests.begin(), requests.end(),
              [](const auto* a, const auto* b) { return a->sent < b->sent; });
    return requests;
}

microseconds longest_gap(const std::vector<const recorded_request*>& requests) {
    std::vector<microseconds> times;
    for (const auto* request : requests) {
        if (request->writes() && request->done()) {
            times.push_back(request->answered);
        }
    }
    std::sort(times.begin(), times.end());
    microseconds longest{0};
    for (std::size_t i = 1; i < times.size(); ++i) {
        longest = std::max(longest, times[i] - times[i - 1]);
    }
    return longest;
}

} // namespace

double account_summary::share_of_due() const noexcept {
    if (due == 0) {
        return 1;
    }
    return std::min(1.0, static_cast<double>(answered) / static_cast<double>(due));
}

account_summary summarize_account(const recorded_history& history, const std::string& account) {
    const auto constraints = history.accounts.find(account);
    token_bucket bucket(constraints == history.accounts.end() ? std::nullopt
                                                              : constraints->second.limit);
    const auto requests = requests_of(history, account);
    account_summary summary;
    for (const auto* request : requests) {
        const bool due = bucket.admit(request->sent);
        const bool refused = request->status == over_rate_status;
        ++summary.requests;
        summary.answered += request->done() ? 1 : 0;
        summary.refused_over_rate += refused ? 1 : 0;
        summary.due += due ? 1 : 0;
        summary.wrongly_refused += due && refused ? 1 : 0;
    }
    // When an account exceeds its rate, the proxy may admit other requests than the replay does, so
    // at most the shortfall of answered requests counts as wrongly refused.
    const std::size_t shortfall = summary.due - std::min(summary.due, summary.answered);
    summary.wrongly_refused = std::min(summary.wrongly_refused, shortfall);
    summary.longest_write_gap = longest_gap(requests);
    return summary;
}

} // namespace oriole::load

#include "load/internal/property.h"
#include "load/rate_excess.h"

#include <map>

namespace oriole::load {
namespace {

/// Tolerates rounding errors in floating-point sums; far less than one request.
constexpr double rounding_tolerance = 1e-6;

class rate_excess final : public property {
public:
    [[nodiscard]] std::string name() const override { return "rate_excess"; }

    [[nodiscard]] std::vector<violation> check(const recorded_history& history,
                                               const row_index&) const override {
        std::map<std::string, std::vector<const recorded_request*>> done;
        for (const auto& request : history.requests) {
            if (request.done()) {
                done[request.account].push_back(&request);
            }
        }
        std::vector<violation> found;
        for (const auto& [account, constraints] : history.accounts) {
            if (constraints.limit) {
                check_account(account, *constraints.limit, done[account], found);
            }
        }
        return found;
    }

private:
    static void check_account(const std::string& account, const rate_limit& limit,
                              const std::vector<const recorded_request*>& done,
                              std::vector<violation>& found) {
        const auto worst = find_rate_excess(done, limit);
        if (worst.excess <= rounding_tolerance) {
            return;
        }
        violation found_violation{{},
                                  "account " + account + " got " + std::to_string(worst.requests) +
                                      " requests from " + std::to_string(worst.from.count()) +
                                      " to " + std::to_string(worst.to.count()) + " us, " +
                                      std::to_string(worst.excess) + " too many",
                                  {}};
        for (const auto* request : done) {
            if (request->sent >= worst.from && request->answered <= worst.to) {
                found_violation.requests.push_back(describe(*request));
            }
        }
        found.push_back(std::move(found_violation));
    }
};

} // namespace

std::unique_ptr<property> make_rate_excess() {
    return std::make_unique<rate_excess>();
}

} // namespace oriole::load

#include "contracts/internal/loan_allocation.h"

#include <numeric>

namespace oriole::contracts {

std::vector<share_parts> allocate_loans(share_parts total,
                                        const std::vector<share_parts>& demands) {
    std::vector<share_parts> result(demands.size(), 0);
    const share_parts sum = std::accumulate(demands.begin(), demands.end(), share_parts{0});
    if (total <= 0 || demands.empty()) {
        return result;
    }
    if (sum > total) {
        for (std::size_t i = 0; i < demands.size(); ++i) {
            result[i] = demands[i] * total / sum;
        }
        return result;
    }
    const share_parts rest = total - sum;
    const auto count = static_cast<share_parts>(demands.size());
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const share_parts extra =
            sum == 0 ? rest / count : rest * (demands[i] * count + sum) / (2 * sum * count);
        result[i] = demands[i] + extra;
    }
    return result;
}

} // namespace oriole::contracts

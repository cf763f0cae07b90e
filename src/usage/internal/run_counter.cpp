#include "usage/run_counter.h"

#include <utility>

namespace oriole::usage {
namespace {

class map_run_counter final : public run_counter {
public:
    void count(const account_name& account, clock::time_point began) override {
        if (account.empty()) {
            return;
        }
        const auto rounded = began - began.time_since_epoch() % resolution;
        ++m_counts[{rounded, account}];
    }

    [[nodiscard]] std::vector<counted_runs> take() override {
        std::vector<counted_runs> result;
        result.reserve(m_counts.size());
        for (const auto& [key, count] : std::exchange(m_counts, {})) {
            result.push_back({key.first, key.second, count});
        }
        return result;
    }

private:
    std::map<std::pair<clock::time_point, account_name>, std::uint64_t> m_counts;
};

} // namespace

std::unique_ptr<run_counter> make_run_counter() {
    return std::make_unique<map_run_counter>();
}

} // namespace oriole::usage

#include "machines/rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace oriole::machines {

std::uint64_t rendezvous_score(std::string_view object, std::string_view candidate) {
    const auto seed = XXH3_64bits(object.data(), object.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

void rank_by_rendezvous(std::vector<instance>& instances, std::string_view object) {
    std::vector<std::pair<std::uint64_t, instance>> scored;
    scored.reserve(instances.size());
    for (auto& candidate : instances) {
        const auto score = rendezvous_score(object, candidate.id().str());
        scored.emplace_back(score, std::move(candidate));
    }
    std::sort(scored.begin(), scored.end());
    std::transform(scored.begin(), scored.end(), instances.begin(),
                   [](auto& entry) { return std::move(entry.second); });
}

} // namespace oriole::machines

#include "site/internal/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace oriole::site {
namespace {

// Names have at most 63 characters. Much longer input is not a misspelled name, and the time of the
// comparison grows with its length.
constexpr std::size_t max_compared_length = 128;
constexpr std::size_t max_listed_candidates = 12;

std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string nearest_name(std::string_view text, const std::vector<std::string>& candidates) {
    if (text.size() > max_compared_length) {
        return {};
    }
    std::string best;
    std::size_t best_distance = std::max<std::size_t>(2, text.size() / 3) + 1;
    for (const auto& candidate : candidates) {
        const std::size_t distance = edit_distance(text, candidate);
        if (distance < best_distance && distance < candidate.size()) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

std::string suggestion(std::string_view text, const std::vector<std::string>& candidates) {
    const std::string nearest = nearest_name(text, candidates);
    if (!nearest.empty()) {
        return "; did you mean '" + nearest + "'?";
    }
    if (candidates.empty()) {
        return {};
    }
    std::string list = "; known are ";
    for (std::size_t i = 0; i < std::min(candidates.size(), max_listed_candidates); ++i) {
        list += (i == 0 ? "'" : ", '") + candidates[i] + "'";
    }
    return candidates.size() > max_listed_candidates ? list + " and others" : list;
}

} // namespace oriole::site

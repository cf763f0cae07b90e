#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace oriole::fleet {

/// A point in the history of the store. A restore of the store from an older copy starts the next
/// era and gives numbers out again, so numbers are comparable only within an era. Every revision of
/// a later era counts as newer.
struct store_revision {
    std::uint64_t era = 0; ///< 0 when the store does not state it
    std::uint64_t number = 0;

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

/// Text for logs: "ERA.NUMBER".
[[nodiscard]] inline std::string to_string(const store_revision& revision) {
    return std::to_string(revision.era) + "." + std::to_string(revision.number);
}

} // namespace oriole::fleet

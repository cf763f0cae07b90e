#pragma once

#include "site/types/object_id.h"
#include "site/types/site_objects.h"

#include <vector>

namespace oriole::site {

struct merge_result {
    site_objects merged;              ///< conflicting objects have the state of `theirs`
    std::vector<object_id> conflicts; ///< objects that both sides changed differently

    friend bool operator==(const merge_result&, const merge_result&) = default;
};

/// Three-way merge by object of the changes that `theirs` and `ours` made to `base`. Additions and
/// deletions count as changes. Thread-safe.
[[nodiscard]] merge_result merge_sites(const site_objects& base, const site_objects& theirs,
                                       const site_objects& ours);

} // namespace oriole::site

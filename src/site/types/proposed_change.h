#pragma once

#include "site/types/generation.h"
#include "site/types/site_objects.h"

#include <string>

namespace oriole::site {

/// A configuration change that an operator asks to publish.
struct proposed_change {
    std::string operation_id; ///< unique per change; retries of a change reuse it
    generation base_generation = 0;
    site_objects base; ///< the objects of `base_generation`, which the operator edited
    site_objects ours; ///< `base` with the operator's edits
    std::string author;
    std::string time; ///< UTC; informational only
    std::string comment;
    /// Newest generation that an instance is known to use. A platform that was restored from an
    /// older copy may have lost it; the change gets a higher number.
    generation newest_in_use = 0;

    friend bool operator==(const proposed_change&, const proposed_change&) = default;
};

} // namespace oriole::site

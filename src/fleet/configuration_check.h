#pragma once

#include "base/types/finding.h"
#include "fleet/types/configuration.h"

#include <string>
#include <vector>

namespace oriole::fleet {

/// Checks a configuration before it is published: references to unknown services, entries that can
/// never match, and limits that contradict each other. The findings name their object ("route/db",
/// "service/db", "account/a"); their places are empty. A configuration without errors is one that
/// instances can put into force. Thread-safe.
[[nodiscard]] findings check_configuration(const configuration& value);

/// A difference between two configurations.
struct configuration_difference {
    enum class change { added, removed, changed };

    change kind = change::changed;
    std::string object; ///< "kind/name", as in findings
    std::string detail; ///< fields with their old and new values; empty for whole objects

    friend auto operator<=>(const configuration_difference&,
                            const configuration_difference&) = default;
};

/// Lists what differs in `next` from the configuration in force, sorted by object. API keys are
/// counted, never shown. Thread-safe.
[[nodiscard]] std::vector<configuration_difference>
compare_configurations(const configuration& in_force, const configuration& next);

/// Formats a difference as "added|removed|changed OBJECT: DETAIL". Thread-safe.
[[nodiscard]] std::string to_string(const configuration_difference& value);

} // namespace oriole::fleet

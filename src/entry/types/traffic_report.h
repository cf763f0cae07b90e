#pragma once

#include "base/types/name.h"
#include "routing/types/service_report.h"
#include "usage/types/counted_runs.h"

#include <map>
#include <vector>

namespace oriole::entry {

/// Periodic report of the traffic thread to the control thread.
struct traffic_report {
    std::map<service_name, routing::service_report> services;
    /// Operations that began to run at servers since the last report, where usage is reported.
    std::vector<usage::counted_runs> runs;

    friend bool operator==(const traffic_report&, const traffic_report&) = default;
};

} // namespace oriole::entry

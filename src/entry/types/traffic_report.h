#pragma once

#include "base/types/name.h"
#include "routing/types/service_report.h"

#include <map>

namespace oriole::entry {

/// Periodic report of the traffic thread to the control thread.
struct traffic_report {
    std::map<service_name, routing::service_report> services;

    friend bool operator==(const traffic_report&, const traffic_report&) = default;
};

} // namespace oriole::entry

#pragma once

#include "load/types/load_result.h"
#include "load/types/violation.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace oriole::load {

/// The measurements of a run as JSON. `properties` names the checked properties; the report has the
/// number of violations of each, also if it is 0.
[[nodiscard]] std::string make_load_report(const load_result& result,
                                           const std::vector<std::string>& properties,
                                           const std::vector<violation>& violations);

/// Writes one line of JSON for each request.
void write_records(std::ostream& out, const recorded_history& history);

} // namespace oriole::load

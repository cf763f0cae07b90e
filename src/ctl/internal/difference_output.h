#pragma once

#include "ctl/console.h"
#include "site/site_difference.h"

#include <vector>

namespace oriole::ctl {

/// Writes the differences between two configurations: as text with one line per object and one per
/// changed field, or as a JSON array.
void write_differences(const std::vector<site::object_difference>& found, console& output);

} // namespace oriole::ctl

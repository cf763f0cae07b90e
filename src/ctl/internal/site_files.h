#pragma once

#include "base/types/finding.h"
#include "ctl/environment.h"
#include "site/site_reader.h"

#include <string>
#include <vector>

namespace oriole::ctl {

/// Reads and parses configuration files. A file that cannot be read is reported as a finding.
/// Throws usage_error when `files` is empty.
[[nodiscard]] site::read_result read_site_files(environment& system,
                                                const std::vector<std::string>& files);

} // namespace oriole::ctl

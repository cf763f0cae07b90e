#pragma once

#include "base/types/name.h"

#include <cstdint>
#include <map>

namespace oriole::usage {

/// Operations by account.
using account_counts = std::map<account_name, std::uint64_t>;

} // namespace oriole::usage

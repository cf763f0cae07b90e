#pragma once

#include <cstdint>

namespace oriole::site {

/// Sequence number of a published configuration; 0 before the first publication. Instances only
/// ever switch to a higher generation.
using generation = std::uint64_t;

} // namespace oriole::site

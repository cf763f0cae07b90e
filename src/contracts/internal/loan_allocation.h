#pragma once

#include "contracts/types/share.h"

#include <vector>

namespace oriole::contracts {

/// Divides `total` loan parts among holders with the given demands. If the demands fit, each holder
/// gets its demand and the rest is divided in proportion to its demand plus the mean demand, so
/// that idle holders keep some parts; else each gets the same fraction of its demand. The result
/// adds up to at most `total`.
[[nodiscard]] std::vector<share_parts> allocate_loans(share_parts total,
                                                      const std::vector<share_parts>& demands);

} // namespace oriole::contracts

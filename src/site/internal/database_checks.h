#pragma once

#include "site/internal/check_report.h"
#include "site/site_checker.h"

namespace oriole::site {

/// Reports databases whose servers cannot form a majority, servers that belong to two databases,
/// and endpoints that two servers share.
void check_databases(const located_site& site, majority_loss_policy policy, check_report& report);

} // namespace oriole::site

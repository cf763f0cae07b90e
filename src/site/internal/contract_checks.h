#pragma once

#include "site/internal/check_report.h"

namespace oriole::site {

/// Reports keys, client accounts, services and rates that are inconsistent with one another. Omits
/// warnings about accounts and services without a key when some keys were declared with errors,
/// since those keys might provide the access.
void check_contracts(const located_site& site, check_report& report);

} // namespace oriole::site

#pragma once

#include "site/internal/check_report.h"
#include "site/types/object_record.h"

namespace oriole::site {

/// Reports references to objects that do not exist or have the wrong kind, and reference cycles.
void check_references(const located_site& site, const object_records& records,
                      check_report& report);

} // namespace oriole::site

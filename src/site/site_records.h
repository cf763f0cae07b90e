#pragma once

#include "site/types/object_record.h"
#include "site/types/site_objects.h"

namespace oriole::site {

/// Converts all objects to records. Thread-safe.
[[nodiscard]] object_records to_records(const site_objects& objects);

/// Adds the object that `record` describes. Precondition: the record has every field of its kind
/// with a value of the field's type. Throws std::out_of_range or std::bad_variant_access otherwise.
void add_record(site_objects::builder& objects, const object_record& record);

/// Converts records to objects. The precondition of add_record applies to each record.
[[nodiscard]] site_objects to_site_objects(const object_records& records);

} // namespace oriole::site

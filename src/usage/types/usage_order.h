#pragma once

#include "base/types/name.h"
#include "fleet/types/store_revision.h"
#include "usage/types/usage_report.h"

#include <cstdint>

namespace oriole::usage {

/// The last usage report that an instance has decided to send, as kept in the store. It is stored
/// before it is sent, so that whoever sends it again, also after the loss of an answer or of the
/// instance, sends the same counts.
struct usage_order {
    usage_report report;
    instance_id holder; ///< instance that wrote the order; empty when there is none
    /// Fencing token, higher for each newer order; 0 when there is no order yet.
    std::uint64_t fence = 0;
    /// Revision of the object that the store holds, which a newer order replaces; its number is 0
    /// when the store holds none.
    fleet::store_revision revision;

    friend bool operator==(const usage_order&, const usage_order&) = default;
};

} // namespace oriole::usage

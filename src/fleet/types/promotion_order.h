#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "fleet/types/fencing_token.h"
#include "fleet/types/store_revision.h"

#include <cstdint>

namespace oriole::fleet {

/// How long only the instance that wrote the last promotion order of a service may write the next
/// one. The requirements grant that instance 3 s. Its call to the platform may follow the write by
/// up to a second more, while the old primary steps down.
constexpr clock::duration promotion_lease_period = std::chrono::seconds(4);

/// The last decision to promote a server to primary of a service, as kept in the store.
struct promotion_order {
    service_name service;
    instance_id holder; ///< instance that wrote the order; empty when it is not known
    server_name target; ///< server to promote
    /// Fencing token, higher for each newer order; 0 when there is no order yet. An order that was
    /// lost with a restore and written again keeps its token.
    std::uint64_t fence = 0;
    /// Revision of the object that the store holds, which a newer order replaces; its number is 0
    /// when the store holds none.
    store_revision revision;

    friend bool operator==(const promotion_order&, const promotion_order&) = default;
};

} // namespace oriole::fleet

#pragma once

#include "base/types/name.h"
#include "fleet/types/store_revision.h"

#include <cstdint>

namespace oriole::fleet {

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

/// Fencing token of an order that the store acknowledged with `written`. It increases with the
/// revision, also over a restore of the store. In the first era it is the revision's number.
[[nodiscard]] constexpr std::uint64_t fencing_token(const store_revision& written) {
    // Leaves room for 400 changes a second over more than 80 years, and for 8,000 eras in a token
    // that a JSON number represents exactly.
    constexpr unsigned number_bits = 40;
    const std::uint64_t restores = written.era > 1 ? written.era - 1 : 0;
    return (restores << number_bits) + written.number;
}

} // namespace oriole::fleet

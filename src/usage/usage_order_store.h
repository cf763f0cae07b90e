#pragma once

#include "fleet/types/fencing_token.h"
#include "usage/types/usage_order.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace oriole::usage {

/// The last order of the usage reports, as the platform's object store keeps it. Not thread-safe;
/// used on the control thread.
class usage_order_store {
public:
    virtual ~usage_order_store() = default;

    /// Reads the order. Its fence is 0 when there is none; its holder is empty when it cannot be
    /// read. Throws entry::store_unavailable.
    [[nodiscard]] virtual boost::asio::awaitable<usage_order> newest() = 0;

    /// Replaces the order whose revision is `order.revision` (compare-and-swap) and returns it with
    /// its new revision and fencing token; nullopt when another instance has replaced it first, or
    /// when the store was restored since that revision was read. Throws entry::store_unavailable;
    /// the order may then have been stored, or may be stored later. Of an order that is too large
    /// for an object nothing is stored, and it throws too.
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<usage_order>>
    record(usage_order order) = 0;
};

/// Whether the order's report, and none of a later window, is the last that may have been sent.
/// This is not known when the order cannot be read, or when the store may have lost later orders
/// with a restore, or with a call for an earlier era that it carried out later. Then the order's
/// report must not be sent again, and only windows that end after an order with this revision was
/// first read may be reported.
[[nodiscard]] inline bool is_last_report(const usage_order& read) {
    const bool unreadable = read.fence != 0 && read.holder.empty();
    return !unreadable && !fleet::restored_since(read.fence, read.revision);
}

} // namespace oriole::usage

#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "fleet/types/configuration.h"
#include "fleet/types/promotion_order.h"
#include "fleet/types/registered_instance.h"
#include "fleet/types/registered_server.h"
#include "fleet/types/store_revision.h"
#include "usage/usage_order_store.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriole::entry {

/// The store rejected the call, did not answer, or cannot be reached. The requested change may have
/// been applied nevertheless.
class store_unavailable : public error {
public:
    using error::error;
};

/// No reply arrived in time. The connection may carry nothing any more, while the store answers on
/// others.
class store_timeout : public store_unavailable {
public:
    using store_unavailable::store_unavailable;
};

/// The call was ended by fleet_store::cancel_waits().
class store_call_canceled : public store_timeout {
public:
    using store_timeout::store_timeout;
};

/// The store no longer keeps the changes since the given revision; the objects have to be listed
/// again.
class history_expired : public error {
public:
    using error::error;
};

/// One object in a list or in a page of changes.
template <class Value>
struct store_entry {
    std::string name;
    fleet::store_revision revision;
    bool removed = false;
    std::optional<Value> value; ///< nullopt when the object was removed or cannot be parsed

    friend bool operator==(const store_entry&, const store_entry&) = default;
};

/// Objects, and the store's revision at which they were read.
template <class Value>
struct store_page {
    std::vector<store_entry<Value>> objects;
    fleet::store_revision revision;
    std::size_t unreadable = 0; ///< objects without a readable name or revision, not in `objects`

    friend bool operator==(const store_page&, const store_page&) = default;
};

enum class read_mode {
    newest,     ///< includes every write that the store has acknowledged
    allow_stale ///< may be some seconds out of date; costs a fraction of a `newest` read
};

/// The store's objects of one kind. Not thread-safe; used on the control thread.
template <class Value>
class object_collection {
public:
    virtual ~object_collection() = default;

    /// Lists all objects. Throws store_unavailable.
    [[nodiscard]] virtual boost::asio::awaitable<store_page<Value>> list(read_mode mode) = 0;

    /// Waits up to `wait` for changes after `revision`; the page is empty when there were none. The
    /// page may be of a later era than `revision`, and then lacks changes. Throws store_unavailable
    /// and history_expired.
    [[nodiscard]] virtual boost::asio::awaitable<store_page<Value>>
    changes_since(fleet::store_revision revision, clock::duration wait) = 0;
};

/// Marks an availability zone whose backend servers may not be used.
struct evacuation {
    zone_name zone;

    friend bool operator==(const evacuation&, const evacuation&) = default;
};

/// The platform's object store, limited to the kinds of objects that the proxy uses. Not
/// thread-safe; used on the control thread.
class fleet_store {
public:
    virtual ~fleet_store() = default;

    [[nodiscard]] virtual object_collection<fleet::configuration>& configurations() = 0;
    [[nodiscard]] virtual object_collection<fleet::registered_server>& servers() = 0;
    [[nodiscard]] virtual object_collection<evacuation>& evacuations() = 0;
    [[nodiscard]] virtual object_collection<fleet::registered_instance>& instances() = 0;

    /// The last promotion order of each service.
    [[nodiscard]] virtual object_collection<fleet::promotion_order>& promotions() = 0;

    /// The last order of the usage reports.
    [[nodiscard]] virtual usage::usage_order_store& usage_orders() = 0;

    /// Makes the calls of changes_since() that are waiting fail with store_call_canceled.
    virtual void cancel_waits() = 0;

    /// Creates or replaces the entry of an instance. Throws store_unavailable.
    [[nodiscard]] virtual boost::asio::awaitable<void>
    register_instance(fleet::registered_instance instance) = 0;

    /// Removes the entry of an instance, if it exists. Throws store_unavailable.
    [[nodiscard]] virtual boost::asio::awaitable<void> remove_instance(instance_id id) = 0;

    /// Reads the last promotion order for the service; its fence is 0 when there is none, and its
    /// target is empty when the order cannot be read. Throws store_unavailable.
    [[nodiscard]] virtual boost::asio::awaitable<fleet::promotion_order>
    promotion_order_of(service_name service) = 0;

    /// Replaces the promotion order whose revision is `order.revision` (compare-and-swap) and
    /// returns it with its new revision; nullopt when another instance has replaced it first, or
    /// when the store was restored since that revision was read. The order gets a new fencing token
    /// unless it has one. When it throws store_unavailable, the order may have been stored.
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<fleet::promotion_order>>
    record_promotion(fleet::promotion_order order) = 0;
};

enum class promotion_result { accepted, refused };

/// Asks the platform to promote a server to primary. Not thread-safe; used on the control thread.
class promotion_authority {
public:
    virtual ~promotion_authority() = default;

    /// Throws store_unavailable when the platform does not answer; the promotion may then still
    /// take effect later.
    [[nodiscard]] virtual boost::asio::awaitable<promotion_result>
    promote(fleet::promotion_order order) = 0;
};

} // namespace oriole::entry

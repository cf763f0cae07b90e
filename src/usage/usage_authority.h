#pragma once

#include "usage/types/usage_order.h"

#include <boost/asio/awaitable.hpp>

namespace oriole::usage {

enum class usage_result {
    accepted,
    refused ///< a higher fencing token was seen; nothing may be sent with this token again
};

/// Accepts the usage reports on the platform. Not thread-safe; used on the control thread.
class usage_authority {
public:
    virtual ~usage_authority() = default;

    /// Sends the order's report under its fencing token. Throws store_unavailable when the platform
    /// does not answer; the report may then have been accepted, or may be later, so only the same
    /// report may be sent for its window.
    [[nodiscard]] virtual boost::asio::awaitable<usage_result> send(usage_order order) = 0;
};

} // namespace oriole::usage

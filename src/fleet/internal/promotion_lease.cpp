#include "fleet/promotion_lease.h"

#include <algorithm>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

/// How long only the instance that wrote the last promotion order may write the next one. The
/// requirements grant that instance 3 s. Its call to the platform may follow the write by up to a
/// second more, while the old primary steps down.
constexpr clock::duration lease_period = 4s;

} // namespace

void promotion_lease::seen(const service_name& service, std::uint64_t fence, clock::time_point at) {
    auto& known = m_orders[service];
    if (fence > known.fence) {
        known = {fence, at};
    } else if (fence == known.fence) {
        known.at = std::min(known.at, at);
    }
}

bool promotion_lease::may_promote(const promotion_order& last, clock::time_point now) {
    if (last.fence != 0) {
        seen(last.service, last.fence, now);
    }
    const auto known = newest(last.service);
    if (!known || (last.fence == known->fence && last.holder == m_own)) {
        return true;
    }
    // A reported order that is newer than `last` was lost with a restore of the store.
    return now - known->at >= lease_period;
}

std::optional<promotion_time> promotion_lease::newest(const service_name& service) const {
    const auto found = m_orders.find(service);
    return found == m_orders.end() ? std::nullopt : std::optional(found->second);
}

} // namespace oriole::fleet

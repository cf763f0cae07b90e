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

void promotion_lease::seen(const service_name& service, std::uint64_t revision,
                           clock::time_point at) {
    auto& known = m_orders[service];
    if (revision > known.revision) {
        known = {revision, at};
    } else if (revision == known.revision) {
        known.at = std::min(known.at, at);
    }
}

bool promotion_lease::may_promote(const promotion_order& last, clock::time_point now) {
    if (last.revision == 0) {
        return true;
    }
    seen(last.service, last.revision, now);
    if (last.holder == m_own) {
        return true;
    }
    return now - m_orders.at(last.service).at >= lease_period;
}

std::optional<promotion_time> promotion_lease::newest(const service_name& service) const {
    const auto found = m_orders.find(service);
    return found == m_orders.end() ? std::nullopt : std::optional(found->second);
}

} // namespace oriole::fleet

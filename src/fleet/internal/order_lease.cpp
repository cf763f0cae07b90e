#include "fleet/order_lease.h"

#include <algorithm>

namespace oriole::fleet {
namespace {

using namespace std::chrono_literals;

/// The users' rules give a holder 3 s. The call to the platform follows the order in the store
/// after up to a second, while the old primary steps down.
constexpr clock::duration lease_period = 4s;

} // namespace

void order_lease::seen(const service_name& service, std::uint64_t revision, clock::time_point at) {
    auto& known = m_seen[service];
    if (revision > known.revision) {
        known = {revision, at};
    } else if (revision == known.revision) {
        known.at = std::min(known.at, at);
    }
}

bool order_lease::may_order(const promotion_order& last, clock::time_point now) {
    if (last.revision == 0) {
        return true;
    }
    seen(last.service, last.revision, now);
    if (last.holder == m_own) {
        return true;
    }
    return now - m_seen.at(last.service).at >= lease_period;
}

std::optional<order_time> order_lease::newest(const service_name& service) const {
    const auto found = m_seen.find(service);
    return found == m_seen.end() ? std::nullopt : std::optional(found->second);
}

} // namespace oriole::fleet

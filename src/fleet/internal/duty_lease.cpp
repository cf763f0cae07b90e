#include "fleet/duty_lease.h"

#include <algorithm>

namespace oriole::fleet {

void duty_lease::seen(std::uint64_t fence, clock::time_point at) {
    if (!m_newest || fence > m_newest->fence) {
        m_newest = {fence, at};
    } else if (fence == m_newest->fence) {
        m_newest->at = std::min(m_newest->at, at);
    }
}

bool duty_lease::may_act(const instance_id& holder, std::uint64_t fence, clock::time_point now) {
    if (fence != 0) {
        seen(fence, now);
    }
    if (!m_newest || (fence == m_newest->fence && holder == m_own)) {
        return true;
    }
    // A reported order that is newer than the given one was lost with a restore of the store.
    return now - m_newest->at >= m_period;
}

} // namespace oriole::fleet

#pragma once

#include "base/types/name.h"

#include <cstddef>
#include <map>
#include <vector>

namespace oriole::machines {

/// Selects the members whose updates the next message carries: those sent least often first. Each
/// update is sent a number of times that is logarithmic in the number of members. Not thread-safe.
class update_gossip_queue {
public:
    /// Queues the latest update of `member`, even if one of its updates is queued already.
    void add(const instance_id& member) { m_send_counts[member] = 0; }

    void remove(const instance_id& member) { m_send_counts.erase(member); }

    /// Returns up to `count` members whose updates to send, and counts one more send for each.
    /// `members` is the number of members in the fleet.
    [[nodiscard]] std::vector<instance_id> take(std::size_t count, std::size_t members);

private:
    std::map<instance_id, std::size_t> m_send_counts;
};

} // namespace oriole::machines

#include "entry/internal/peer_reachability.h"

namespace oriole::entry {
namespace {

using namespace std::chrono_literals;

/// Instances that have to fail before their group counts as lost. A few may have ended together.
constexpr std::size_t min_failed_instances = 3;
/// Time without an answer before the other zones count as lost. The exchanges with all report peers
/// take this long when some of them time out.
constexpr clock::duration other_zones_silence = 500ms;
/// The same for all instances. It covers a round of exchanges, so that at least one instance that
/// runs has been asked.
constexpr clock::duration silence_of_all = 1200ms;

} // namespace

bool peer_reachability::record(const instance_id& peer, const zone_name& zone, exchange_end end,
                               clock::time_point now) {
    const bool answered = end == exchange_end::answered;
    const bool outside = zone != m_own_zone;
    if (answered) {
        m_silent.failed.clear();
    } else if (end == exchange_end::silent) {
        m_silent.record(peer, now);
    }
    if (answered && outside) {
        m_other_zones.failed.clear();
    } else if (outside) {
        m_other_zones.record(peer, now);
    }
    const auto [known, is_new] = m_answered.try_emplace(peer, answered);
    const bool changed = is_new || known->second != answered;
    known->second = answered;
    return changed;
}

std::optional<bool> peer_reachability::lost_report_peers(
    const std::vector<fleet::registered_instance>& report_peers) const {
    bool any_peer_outside = false;
    for (const auto& peer : report_peers) {
        if (peer.zone == m_own_zone) {
            continue;
        }
        const auto known = m_answered.find(peer.id);
        if (known == m_answered.end() || known->second) {
            return false;
        }
        any_peer_outside = true;
    }
    return any_peer_outside ? std::optional(true) : std::nullopt;
}

bool peer_reachability::lost_other_zones(clock::time_point now) const {
    return m_other_zones.lost(other_zones_silence, now);
}

bool peer_reachability::lost_all(clock::time_point now) const {
    return m_silent.lost(silence_of_all, now);
}

void peer_reachability::failures_since_answer::record(const instance_id& peer,
                                                      clock::time_point now) {
    if (failed.empty()) {
        first = now;
    }
    failed.insert(peer);
}

bool peer_reachability::failures_since_answer::lost(clock::duration silence,
                                                    clock::time_point now) const {
    return failed.size() >= min_failed_instances && now - first >= silence;
}

} // namespace oriole::entry

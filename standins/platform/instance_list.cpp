#include "platform/instance_list.h"

#include <utility>

namespace oriole::standins {

void instance_list::put(const std::string& id, registered_instance entry, clock::time_point now) {
    // An admin endpoint belongs to the instance that registered it last. An earlier instance with
    // the same endpoint has ended.
    std::erase_if(m_current, [&](const auto& item) {
        return item.first != id && item.second.admin_endpoint == entry.admin_endpoint;
    });
    m_current[id] = std::move(entry);
    m_failed_probes.erase(id);
    save_snapshot(now);
}

void instance_list::remove(const std::string& id, clock::time_point now) {
    m_failed_probes.erase(id);
    if (m_current.erase(id) > 0) {
        save_snapshot(now);
    }
}

void instance_list::record_probe(const std::string& id, bool answered, clock::time_point now) {
    if (answered) {
        m_failed_probes.erase(id);
        return;
    }
    if (m_current.count(id) > 0 && ++m_failed_probes[id] >= probes_until_removal) {
        remove(id, now);
    }
}

instance_list::entries instance_list::visible_entries(clock::time_point now) {
    const auto as_of = now - m_lag;
    while (m_snapshots.size() > 1 && m_snapshots[1].since <= as_of) {
        m_snapshots.pop_front();
    }
    if (m_snapshots.empty() || m_snapshots.front().since > as_of) {
        return {};
    }
    return m_snapshots.front().list;
}

void instance_list::save_snapshot(clock::time_point now) {
    m_snapshots.push_back({now, m_current});
}

} // namespace oriole::standins

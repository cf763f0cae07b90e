#include "platform/instance_list.h"

#include <utility>

namespace oriole::standins {

void instance_list::put(const std::string& id, registered_instance entry, clock::time_point now) {
    // An address belongs to the process that announced it last; the one before it has ended.
    std::erase_if(m_current, [&](const auto& item) {
        return item.first != id && item.second.admin == entry.admin;
    });
    m_current[id] = std::move(entry);
    m_failed_probes.erase(id);
    remember(now);
}

void instance_list::remove(const std::string& id, clock::time_point now) {
    m_failed_probes.erase(id);
    if (m_current.erase(id) > 0) {
        remember(now);
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

instance_list::entries instance_list::visible(clock::time_point now) {
    const auto as_of = now - m_lag;
    while (m_history.size() > 1 && m_history[1].since <= as_of) {
        m_history.pop_front();
    }
    if (m_history.empty() || m_history.front().since > as_of) {
        return {};
    }
    return m_history.front().list;
}

void instance_list::remember(clock::time_point now) {
    m_history.push_back({now, m_current});
}

} // namespace oriole::standins

#include "platform/platform_store.h"

#include <utility>

namespace oriole::standins {

std::optional<platform_object> platform_store::find(const std::string& path) const {
    const auto found = m_objects.find(path);
    if (found == m_objects.end()) {
        return std::nullopt;
    }
    return found->second;
}

put_result platform_store::put(const std::string& path, std::string value,
                               std::uint64_t expected_version, std::string operation) {
    const auto found = m_objects.find(path);
    const std::uint64_t current = found == m_objects.end() ? 0 : found->second.version;
    if (value.size() > max_object_bytes) {
        return {put_status::too_large, current};
    }
    if (current != expected_version) {
        return {put_status::conflict, current};
    }
    ++m_revision;
    m_objects[path] = {std::move(value), std::move(operation), current + 1, m_revision};
    return {put_status::stored, current + 1};
}

std::vector<platform_change> platform_store::changes_after(const std::string& prefix,
                                                           std::uint64_t after) const {
    std::vector<platform_change> found;
    for (auto it = m_objects.lower_bound(prefix); it != m_objects.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        if (it->second.changed_at_revision > after) {
            found.push_back({it->first, it->second.version});
        }
    }
    return found;
}

} // namespace oriole::standins

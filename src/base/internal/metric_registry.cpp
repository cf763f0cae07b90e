#include "base/metric_registry.h"

namespace oriole {

metric& metric_registry::get(const std::string& name) {
    const std::lock_guard lock(m_mutex);
    auto& entry = m_metrics[name];
    if (!entry) {
        entry = std::make_unique<metric>();
    }
    return *entry;
}

std::string metric_registry::exposition() const {
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [name, value] : m_metrics) {
        text += name + " " + std::to_string(value->value()) + "\n";
    }
    return text;
}

} // namespace oriole

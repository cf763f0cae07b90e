#include "base/latency_histogram.h"

namespace oriole {

latency_histogram::latency_histogram(metric_registry& metrics, const std::string& name)
    : m_infinity_bucket(metrics.get(name + "_ms_bucket{le=\"+Inf\"}")),
      m_count(metrics.get(name + "_ms_count")),
      m_sum_ms(metrics.get(name + "_ms_sum")) {
    for (std::size_t i = 0; i < bounds_ms.size(); ++i) {
        std::string bucket = name;
        bucket.append("_ms_bucket{le=\"").append(std::to_string(bounds_ms[i])).append("\"}");
        m_buckets[i] = &metrics.get(bucket);
    }
}

void latency_histogram::add(clock::duration value) noexcept {
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    for (std::size_t i = 0; i < bounds_ms.size(); ++i) {
        if (millis <= bounds_ms[i]) {
            m_buckets[i]->add();
        }
    }
    m_infinity_bucket.add();
    m_count.add();
    m_sum_ms.add(millis);
}

} // namespace oriole

#pragma once

#include "base/clock.h"
#include "base/metric_registry.h"

#include <array>
#include <string>

namespace oriole {

/// Counts durations in fixed buckets and exposes them as a histogram in milliseconds. Thread-safe.
class latency_histogram {
public:
    /// Precondition: the registry outlives the histogram and no other metric uses `name`.
    latency_histogram(metric_registry& metrics, const std::string& name);

    void add(clock::duration value) noexcept;

private:
    /// Upper bounds of the buckets, each about twice the previous one.
    static constexpr std::array<int, 13> bounds_ms{1,   2,   5,    10,   20,   50,   100,
                                                   200, 500, 1000, 2000, 5000, 10000};

    std::array<metric*, bounds_ms.size()> m_buckets{};
    metric& m_infinity_bucket;
    metric& m_count;
    metric& m_sum_ms;
};

} // namespace oriole

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace oriole {

/// A counter or gauge. All members are thread-safe and lock-free.
class metric {
public:
    void add(std::int64_t amount = 1) noexcept {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    void set(std::int64_t value) noexcept { m_value.store(value, std::memory_order_relaxed); }

    [[nodiscard]] std::int64_t value() const noexcept {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// The process's metrics by name. Thread-safe. References to metrics stay valid as long as the
/// registry exists.
class metric_registry {
public:
    /// Returns the metric with this name, creating it with the value 0 on first use. Takes a lock:
    /// code on the request path should keep the reference instead of looking it up each time.
    /// Labels are part of the name: `x_total{zone="a"}`.
    [[nodiscard]] metric& get(const std::string& name);

    /// All metrics in the text exposition format, one per line, sorted by name.
    [[nodiscard]] std::string exposition() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<metric>> m_metrics;
};

} // namespace oriole

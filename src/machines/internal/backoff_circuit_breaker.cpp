#include "machines/circuit_breaker.h"

#include <algorithm>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;

/// A probe without a result after this time counts as lost, and another one is allowed.
constexpr milliseconds probe_timeout{2000};

class backoff_circuit_breaker final : public circuit_breaker {
public:
    backoff_circuit_breaker(random_source& random, circuit_breaker_settings settings)
        : m_random(random), m_settings(settings) {}

    [[nodiscard]] bool open() const noexcept override { return m_open; }

    [[nodiscard]] bool take_probe(clock::time_point now) override {
        if (!m_open || now < m_next_probe_at) {
            return false;
        }
        m_next_probe_at = now + probe_timeout;
        m_probing = true;
        return true;
    }

    void succeeded() override {
        if (m_open && m_settings.probes_to_close > 1 && !passes_last_probe()) {
            return;
        }
        m_failures = 0;
        m_good_probes = 0;
        m_open = false;
        m_probing = false;
        m_backoff = m_settings.initial_backoff;
    }

    void failed(clock::time_point now) override {
        ++m_failures;
        if (m_open && !m_probing) {
            return;
        }
        if (m_open) {
            m_backoff = std::min(m_backoff * 2, m_settings.max_backoff);
            m_good_probes = 0;
        } else if (m_failures < m_settings.failures_to_open) {
            return;
        }
        m_open = true;
        m_probing = false;
        m_next_probe_at = now + jittered(m_backoff);
    }

private:
    // Counts a good probe. Successes of requests that were sent before the breaker opened don't
    // count.
    bool passes_last_probe() {
        if (!m_probing) {
            return false;
        }
        ++m_good_probes;
        m_probing = false;
        m_next_probe_at = {};
        return m_good_probes >= m_settings.probes_to_close;
    }

    // Random time between half of `backoff` and all of it.
    milliseconds jittered(milliseconds backoff) {
        const auto half = static_cast<std::uint64_t>(backoff.count()) / 2;
        return milliseconds(static_cast<std::int64_t>(half + m_random.next() % (half + 1)));
    }

    random_source& m_random;
    circuit_breaker_settings m_settings;
    int m_failures = 0;
    int m_good_probes = 0;
    bool m_open = false;
    bool m_probing = false;
    milliseconds m_backoff = m_settings.initial_backoff;
    clock::time_point m_next_probe_at;
};

} // namespace

std::unique_ptr<circuit_breaker> make_circuit_breaker(random_source& random,
                                                      circuit_breaker_settings settings) {
    return std::make_unique<backoff_circuit_breaker>(random, settings);
}

} // namespace oriole::machines

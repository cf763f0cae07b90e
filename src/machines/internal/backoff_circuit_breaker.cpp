#include "machines/circuit_breaker.h"

#include <algorithm>

namespace oriole::machines {
namespace {

using std::chrono::milliseconds;

/// A single failure is often due to one connection; three consecutive failures
/// indicate that the server has failed.
constexpr int failures_to_open = 3;

/// Short, because a change of primary must complete within 1.5 s.
constexpr milliseconds initial_backoff{50};
constexpr milliseconds max_backoff{2000};

/// A probe without a result after this time counts as lost, and another one is allowed.
constexpr milliseconds probe_timeout{2000};

class backoff_circuit_breaker final : public circuit_breaker {
public:
    explicit backoff_circuit_breaker(random_source& random) : m_random(random) {}

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
        m_failures = 0;
        m_open = false;
        m_probing = false;
        m_backoff = initial_backoff;
    }

    void failed(clock::time_point now) override {
        ++m_failures;
        if (m_open && !m_probing) {
            return;
        }
        if (m_open) {
            m_backoff = std::min(m_backoff * 2, max_backoff);
        } else if (m_failures < failures_to_open) {
            return;
        }
        m_open = true;
        m_probing = false;
        m_next_probe_at = now + jittered(m_backoff);
    }

private:
    // Random time between half of `backoff` and all of it.
    milliseconds jittered(milliseconds backoff) {
        const auto half = static_cast<std::uint64_t>(backoff.count()) / 2;
        return milliseconds(static_cast<std::int64_t>(half + m_random.next() % (half + 1)));
    }

    random_source& m_random;
    int m_failures = 0;
    bool m_open = false;
    bool m_probing = false;
    milliseconds m_backoff = initial_backoff;
    clock::time_point m_next_probe_at;
};

} // namespace

std::unique_ptr<circuit_breaker> make_circuit_breaker(random_source& random) {
    return std::make_unique<backoff_circuit_breaker>(random);
}

} // namespace oriole::machines

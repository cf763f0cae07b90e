#include "scheduling/server_health.h"

#include <cmath>

namespace oriole::scheduling {
namespace {

using namespace std::chrono_literals;
using seconds = std::chrono::duration<double>;

/// Statements lose half of their weight in this time.
constexpr seconds statement_half_life = 2s;
/// Below this share of failures, ejection costs callers more than it saves.
constexpr double bad_share_to_eject = 0.25;
/// Fewer bad statements than this may be due to one connection.
constexpr double bad_to_eject = 3;

/// The share decides on the ejection, so the breaker opens at the first failure that it is told of.
/// A server that fails half of its work passes a single probe every other time.
constexpr machines::circuit_breaker_settings probe_settings{
    .failures_to_open = 1, .probes_to_close = 3, .initial_backoff = 250ms, .max_backoff = 2s};

} // namespace

std::string_view to_string(ejection_reason reason) noexcept {
    switch (reason) {
    case ejection_reason::failures:
        return "failures";
    case ejection_reason::slow:
        return "slow";
    case ejection_reason::none:
        break;
    }
    return "none";
}

server_health::server_health(random_source& random)
    : m_random(random), m_breaker(machines::make_circuit_breaker(random, probe_settings)) {}

void server_health::record_good(clock::time_point now) {
    fade(now);
    m_statements += 1;
    if (m_breaker->open()) {
        m_breaker->succeeded();
        if (!m_breaker->open()) {
            take_back(now);
        }
    }
}

void server_health::record_bad(ejection_reason reason, clock::time_point now) {
    fade(now);
    m_statements += 1;
    m_bad += 1;
    const bool too_many = m_bad >= bad_to_eject && m_bad >= bad_share_to_eject * m_statements;
    if (m_breaker->open() || too_many) {
        m_reason = m_breaker->open() ? m_reason : reason;
        m_breaker->failed(now);
    }
}

bool server_health::take_probe(clock::time_point now) {
    return m_breaker->take_probe(now);
}

bool server_health::admits(clock::time_point now) {
    constexpr std::uint64_t steps = 1000;
    const auto drawn = static_cast<double>(m_random.next() % steps) / steps;
    return !m_breaker->open() && drawn < m_return->factor(now);
}

void server_health::fade(clock::time_point now) {
    const double kept = std::exp2(-(seconds(now - m_updated) / statement_half_life));
    m_statements *= kept;
    m_bad *= kept;
    m_updated = now;
}

void server_health::take_back(clock::time_point now) {
    m_statements = 0;
    m_bad = 0;
    m_return->begin(now);
}

} // namespace oriole::scheduling

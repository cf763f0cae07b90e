#include "scheduling/read_balancer.h"

#include <algorithm>
#include <string>
#include <utility>

namespace oriole::scheduling {
namespace {

/// An answer that takes this many times the usual time is slow. A read that varies by itself, or a
/// short queue, stays below it.
constexpr int slow_factor = 4;

/// The only kind of `m_open_times`.
const std::string open_kind = "open";

/// Returns the execution slots that this gateway may count on. The gateways of all zones send their
/// writes to the primary, and reads that leave their zone to the others.
int slots_for(const reader& reader, int zones) {
    const bool shared = reader.primary || !reader.in_own_zone;
    if (reader.slots <= 0 || !shared) {
        return std::max(reader.slots, 0);
    }
    return std::max(reader.slots / std::max(zones, 1), 1);
}

} // namespace

read_balancer::read_balancer(std::unique_ptr<random_source> random)
    : m_random(std::move(random)), m_choice(make_weighted_server_choice(*m_random)) {}

read_balancer::read_balancer(std::unique_ptr<random_source> random,
                             std::unique_ptr<server_choice> choice)
    : m_random(std::move(random)), m_choice(std::move(choice)) {}

std::optional<server_name> read_balancer::choose(const std::vector<reader>& readers,
                                                 const read_request& request, int zones,
                                                 clock::time_point now) {
    if (readers.empty()) {
        return std::nullopt;
    }
    std::vector<read_candidate> candidates;
    candidates.reserve(readers.size());
    const auto expected = m_usual_times.of(request.kind);
    const auto open_time = m_open_times.of(open_kind);
    bool probes = false;
    for (const auto& reader : readers) {
        auto& state = state_of(reader.server);
        read_candidate candidate;
        candidate.suitability = suitability_of(reader, state.health, !probes, now);
        candidate.response = state.load.predicted_response(
            {reader.running, slots_for(reader, zones), expected}, now);
        candidate.response += reader.connected ? clock::duration::zero() : open_time;
        candidate.refused_share = state.load.refused_share(now);
        candidate.in_own_zone = reader.in_own_zone;
        candidate.primary = reader.primary;
        probes = probes || candidate.suitability == read_suitability::due_for_probe;
        candidates.push_back(candidate);
    }
    const auto& chosen = readers[m_choice->order(candidates, request.latency_target).front()];
    ++state_of(chosen.server).reads;
    return chosen.server;
}

void read_balancer::record(const read_result& result, int zones, clock::time_point now) {
    auto& state = state_of(result.at.server);
    if (result.result == attempt_result::refused) {
        state.load.record_refused(now);
        return;
    }
    const bool was_ejected = state.health.ejected();
    record_health(result, zones, state.health, now);
    if (state.health.ejected() != was_ejected) {
        m_health_changes.push_back({result.at.server, !was_ejected, state.health.reason()});
    }
    if (result.result == attempt_result::served && result.elapsed > clock::duration::zero()) {
        state.load.record_served(result.elapsed, m_usual_times.of(result.kind), now);
        m_usual_times.record(result.kind, result.elapsed, now);
    }
}

void read_balancer::record_open(clock::duration elapsed, clock::time_point now) {
    m_open_times.record(open_kind, elapsed, now);
}

void read_balancer::forget(const server_name& server) {
    const auto known = m_servers.find(server);
    if (known == m_servers.end()) {
        return;
    }
    const auto& health = known->second.health;
    if (health.ejected()) {
        m_health_changes.push_back({server, false, health.reason()});
    }
    m_servers.erase(known);
}

std::vector<health_change> read_balancer::take_health_changes() {
    return std::exchange(m_health_changes, {});
}

std::vector<read_share> read_balancer::take_read_shares() {
    std::vector<read_share> result;
    for (auto& [server, state] : m_servers) {
        result.push_back({server, std::exchange(state.reads, 0), state.health.ejected()});
    }
    return result;
}

read_balancer::server_state& read_balancer::state_of(const server_name& server) {
    return m_servers.try_emplace(server, *m_random).first->second;
}

read_suitability read_balancer::suitability_of(const reader& reader, server_health& health,
                                               bool may_probe, clock::time_point now) {
    if (reader.failing) {
        return read_suitability::failing;
    }
    if (reader.lagging) {
        return read_suitability::lagging;
    }
    if (health.ejected()) {
        const bool probes = may_probe && reader.connection_available && health.take_probe(now);
        return probes ? read_suitability::due_for_probe : read_suitability::ejected;
    }
    if (!reader.connection_available) {
        return read_suitability::no_connection;
    }
    return health.admits(now) ? read_suitability::ready : read_suitability::ejected;
}

void read_balancer::record_health(const read_result& result, int zones, server_health& health,
                                  clock::time_point now) {
    if (result.result == attempt_result::failed) {
        health.record_bad(ejection_reason::failures, now);
        return;
    }
    const auto usual = m_usual_times.of(result.kind);
    const bool slow = usual > clock::duration::zero() && result.elapsed >= slow_factor * usual;
    // With more of this gateway's work than that, the server may be slow because of its queue.
    const int slots = slots_for(result.at, zones);
    const bool little_work = 2 * (result.at.running + 1) <= slots || result.at.running == 0;
    if (slow && slots > 0 && little_work) {
        health.record_bad(ejection_reason::slow, now);
    } else {
        health.record_good(now);
    }
}

} // namespace oriole::scheduling

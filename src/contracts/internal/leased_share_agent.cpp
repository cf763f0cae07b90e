#include "contracts/internal/leased_share_agent.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriole::contracts {
namespace {

constexpr clock::duration ledger_round_interval = std::chrono::seconds(5);

/// Renewals are sent this long before the coordinator's regular write of the ledger, so that little
/// of the lease has passed when the renewal is recorded.
constexpr clock::duration renewal_lead_time = std::chrono::milliseconds(500);

/// A renewal without an answer is sent again, with a new sequence number, while the old lease is
/// still valid.
constexpr clock::duration renewal_timeout = std::chrono::seconds(2);

/// Minimum interval between renewals that are sent early because of changed demand or a lower
/// target.
constexpr clock::duration min_renewal_interval = std::chrono::seconds(1);

/// Urgent writes of the zone's ledger are limited to one a second, to bound the load on the
/// platform.
constexpr clock::duration min_write_interval = std::chrono::seconds(1);

/// Interval at which the coordinator checks whether an urgent write is needed.
constexpr clock::duration urgency_check_interval = std::chrono::milliseconds(250);

/// Time before a joining instance reports ready. Token buckets start empty; after this time the
/// instance has its slot and average loans, and enough tokens for unevenly arriving requests.
constexpr clock::duration warm_up_time = std::chrono::seconds(4);

constexpr clock::duration sublease_request_interval = std::chrono::milliseconds(500);

/// Shortages below this fraction (1/8) of the need are covered by the headroom and wait for the
/// next renewal.
constexpr share_parts tolerated_shortage_divisor = 8;

/// An increase of the wanted loans by more than this fraction (1/10) is sent before the next
/// regular renewal.
constexpr share_parts tolerated_rise_divisor = 10;

} // namespace

leased_share_agent::leased_share_agent(instance_id self, zone_name zone,
                                       share_ledger initial_ledger, components dependencies)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_initial_ledger(std::move(initial_ledger)),
      m_components(std::move(dependencies)) {}

void leased_share_agent::set_view(share_view view) {
    const bool was_coordinator = is_coordinator();
    m_view = std::move(view);
    if (is_coordinator() && !was_coordinator) {
        m_ledger.reset(); // another coordinator may have written the ledger meanwhile
    }
}

void leased_share_agent::set_rates(std::map<account_name, rate> rates) {
    m_rates = std::move(rates);
}

void leased_share_agent::add_demand(const account_name& account, double weight) {
    m_components.meter->add(account, weight);
}

share_actions leased_share_agent::tick(clock::time_point now) {
    share_actions actions;
    m_components.meter->advance(now);
    if (!m_has_left && renewal_is_due(now)) {
        renew(actions, now);
    }
    if (!m_has_left && now >= m_next_sublease_request) {
        request_missing_loans(actions, now);
    }
    if (!m_has_left && is_coordinator()) {
        coordinate(actions, now);
    }
    return with_changed_shares(std::move(actions), now);
}

share_actions leased_share_agent::on_share_request(const share_request& request,
                                                   clock::time_point now) {
    share_actions actions;
    if (request.purpose == share_purpose::sublease) {
        auto response =
            m_components.holding->grant_sublease(request, recently_wanted_loans(now), now);
        if (!response.grants.empty()) {
            actions.share_responses.emplace_back(request.requester, std::move(response));
        }
        return with_changed_shares(std::move(actions), now);
    }
    if (m_has_left || !is_coordinator()) {
        return actions;
    }
    m_components.planner->record_request(request);
    m_has_unplanned_requests = true;
    return with_changed_shares(std::move(actions), now);
}

share_actions leased_share_agent::on_share_response(const share_response& response,
                                                    clock::time_point now) {
    share_actions actions;
    switch (response.purpose) {
    case share_purpose::renew:
        apply_renewal_response(response, now);
        break;
    case share_purpose::sublease:
        m_components.holding->accept_sublease(response, now);
        break;
    case share_purpose::zone:
        m_components.planner->record_transfers(response);
        m_has_unplanned_requests = true;
        break;
    case share_purpose::leave:
        break;
    }
    return with_changed_shares(std::move(actions), now);
}

share_actions leased_share_agent::on_ledger(std::optional<share_ledger> ledger,
                                            std::uint64_t version, clock::time_point now) {
    share_actions actions;
    m_is_reading = false;
    m_ledger = known_ledger{ledger ? *std::move(ledger) : m_initial_ledger, version};
    m_components.planner->observe(m_ledger->value, now);
    send_responses(actions, m_ledger->value, now);
    return with_changed_shares(std::move(actions), now);
}

void leased_share_agent::on_ledger_unavailable() {
    m_is_reading = false;
}

share_actions leased_share_agent::on_written(ledger_write_result result, std::uint64_t version,
                                             clock::time_point now) {
    share_actions actions;
    auto written = std::exchange(m_pending_write, std::nullopt);
    if (result != ledger_write_result::stored || !written) {
        m_ledger.reset();
        m_has_unplanned_requests = true;
        return with_changed_shares(std::move(actions), now);
    }
    const share_ledger before = m_ledger ? m_ledger->value : m_initial_ledger;
    m_ledger = known_ledger{*std::move(written), version};
    m_components.planner->observe(m_ledger->value, now);
    send_responses(actions, before, now);
    send_zone_messages(actions);
    return with_changed_shares(std::move(actions), now);
}

share_actions leased_share_agent::leave(clock::time_point now) {
    share_actions actions;
    const auto to = coordinator();
    const share_request request = m_components.holding->leave(now);
    if (to && *to == m_self && m_ledger && !m_pending_write) {
        // A leaving coordinator returns its own shares with its last write of the ledger.
        m_components.planner->record_request(request);
        m_pending_write = m_components.planner->plan(m_ledger->value, now);
        actions.write_ledger = share_ledger_write{m_ledger->version, *m_pending_write};
    } else if (to && *to != m_self) {
        actions.share_requests.emplace_back(*to, request);
    }
    m_has_left = true;
    return with_changed_shares(std::move(actions), now);
}

std::map<account_name, share> leased_share_agent::shares(clock::time_point now) const {
    std::vector<account_name> accounts;
    for (const auto& [account, whole] : m_rates) {
        accounts.push_back(account);
    }
    return m_components.holding->shares(accounts, now);
}

bool leased_share_agent::is_ready(clock::time_point now) const {
    return !m_has_left && m_first_renewal_confirmed &&
           now >= *m_first_renewal_confirmed + warm_up_time;
}

bool leased_share_agent::is_coordinator() const {
    return coordinator() == m_self;
}

std::optional<instance_id> leased_share_agent::coordinator() const {
    const auto found = m_view.coordinators().find(m_zone);
    if (found == m_view.coordinators().end()) {
        return std::nullopt;
    }
    return found->second;
}

account_parts leased_share_agent::needed_parts() const {
    account_parts result;
    for (const auto& [account, whole] : m_rates) {
        const share_parts needed = to_parts(m_components.meter->needed(account), whole);
        if (needed > 0) {
            result.emplace(account, needed);
        }
    }
    return result;
}

account_parts leased_share_agent::wanted_loans(clock::time_point now) const {
    account_parts result = needed_parts();
    const share_parts floor = m_components.holding->floor_parts(now);
    for (auto& [account, parts] : result) {
        parts = std::max<share_parts>(0, parts - floor);
    }
    return result;
}

account_parts leased_share_agent::recently_wanted_loans(clock::time_point now) const {
    const share_parts floor = m_components.holding->floor_parts(now);
    account_parts result;
    for (const auto& [account, whole] : m_rates) {
        const share_parts needed = to_parts(m_components.meter->needed_recently(account), whole);
        result.emplace(account, std::max<share_parts>(0, needed - floor));
    }
    return result;
}

account_parts leased_share_agent::missing_loan_parts(clock::time_point now) const {
    const auto held = shares(now);
    account_parts result;
    for (const auto& [account, needed] : needed_parts()) {
        const auto found = held.find(account);
        const share_parts shortage = needed - (found == held.end() ? 0 : found->second.parts(now));
        if (shortage > needed / tolerated_shortage_divisor) {
            result.emplace(account, shortage);
        }
    }
    return result;
}

bool leased_share_agent::renewal_is_due(clock::time_point now) const {
    if (!m_last_renewal || now >= m_next_renewal) {
        return true;
    }
    if (now < *m_last_renewal + min_renewal_interval) {
        return false;
    }
    if (m_components.holding->must_reduce()) {
        return true;
    }
    // Increased demand triggers one early renewal per change.
    const auto wanted = wanted_loans(now);
    const auto missing = missing_loan_parts(now);
    return std::any_of(missing.begin(), missing.end(), [&](const auto& entry) {
        const auto requested = m_last_requested_loans.find(entry.first);
        const share_parts before =
            requested == m_last_requested_loans.end() ? 0 : requested->second;
        return wanted.at(entry.first) > before + before / tolerated_rise_divisor;
    });
}

void leased_share_agent::renew(share_actions& actions, clock::time_point now) {
    const auto to = coordinator();
    m_last_renewal = now;
    m_next_renewal = now + renewal_timeout;
    if (!to) {
        return;
    }
    m_last_requested_loans = wanted_loans(now);
    share_request request = m_components.holding->renew(m_last_requested_loans, now);
    if (*to == m_self) {
        m_components.planner->record_request(request);
        m_has_unplanned_requests = true;
        return;
    }
    actions.share_requests.emplace_back(*to, std::move(request));
}

void leased_share_agent::request_missing_loans(share_actions& actions, clock::time_point now) {
    m_next_sublease_request = now + sublease_request_interval;
    const auto missing = missing_loan_parts(now);
    if (missing.empty() || m_view.peers().empty()) {
        return;
    }
    m_next_peer = (m_next_peer + 1) % m_view.peers().size();
    const auto& peer = *std::next(m_view.peers().begin(), static_cast<std::ptrdiff_t>(m_next_peer));
    actions.share_requests.emplace_back(peer,
                                        m_components.holding->request_sublease(peer, missing, now));
}

void leased_share_agent::coordinate(share_actions& actions, clock::time_point now) {
    if (m_pending_write || m_is_reading) {
        return;
    }
    if (!m_ledger) {
        if (m_has_unplanned_requests) {
            m_is_reading = true;
            actions.read_ledger = true;
        }
        return;
    }
    if (m_has_unplanned_requests && now >= m_next_urgency_check) {
        m_next_urgency_check = now + urgency_check_interval;
        plan_write(actions, now);
    }
}

void leased_share_agent::plan_write(share_actions& actions, clock::time_point now) {
    const bool is_regular = now >= m_next_round;
    if (!is_regular && m_last_write && now < *m_last_write + min_write_interval) {
        return;
    }
    share_ledger planned = m_components.planner->plan(m_ledger->value, now);
    if (!is_regular && !m_components.planner->is_urgent(m_ledger->value, planned)) {
        // Tells holders now to reduce their loans, so that the next write can grant the freed parts
        // to others.
        send_responses(actions, m_ledger->value, now);
        return;
    }
    if (is_regular) {
        m_next_round = now + ledger_round_interval;
    }
    m_last_write = now;
    m_has_unplanned_requests = false;
    if (planned == m_ledger->value) {
        return;
    }
    m_pending_write = planned;
    actions.write_ledger = share_ledger_write{m_ledger->version, std::move(planned)};
}

void leased_share_agent::send_responses(share_actions& actions, const share_ledger& before,
                                        clock::time_point now) {
    using std::chrono::milliseconds;
    for (auto& [to, response] : m_components.planner->responses(before, m_ledger->value)) {
        const auto wait = std::max(clock::duration(0), m_next_round - now);
        response.next_round = std::chrono::floor<milliseconds>(wait);
        if (to == m_self) {
            apply_renewal_response(response, now);
        } else {
            actions.share_responses.emplace_back(to, std::move(response));
        }
    }
}

void leased_share_agent::send_zone_messages(share_actions& actions) {
    const auto account_requests = m_components.planner->shortages(m_ledger->value);
    for (const auto& [zone, to] : m_view.coordinators()) {
        if (zone == m_zone) {
            continue;
        }
        const auto& received = m_ledger->value.received();
        const auto last = received.find(zone);
        share_request request{m_self, m_zone, share_purpose::zone, ++m_zone_request_sequence,
                              0,      {}};
        request.received = last == received.end() ? 0 : last->second;
        request.account_requests = account_requests;
        actions.share_requests.emplace_back(to, std::move(request));
    }
    for (auto& [zone, response] : m_components.planner->pending_transfers(m_ledger->value)) {
        const auto to = m_view.coordinators().find(zone);
        if (to != m_view.coordinators().end()) {
            actions.share_responses.emplace_back(to->second, std::move(response));
        }
    }
}

void leased_share_agent::apply_renewal_response(const share_response& response,
                                                clock::time_point now) {
    m_components.holding->apply_renewal(response, now);
    if (!m_components.holding->is_confirmed()) {
        return;
    }
    m_first_renewal_confirmed = m_first_renewal_confirmed.value_or(now);
    const clock::duration until_round = response.next_round;
    m_next_renewal = now + std::max(until_round - renewal_lead_time, min_renewal_interval);
}

share_actions leased_share_agent::with_changed_shares(share_actions actions,
                                                      clock::time_point now) {
    auto current = shares(now);
    actions.shares_changed = current != m_last_reported_shares;
    m_last_reported_shares = std::move(current);
    return actions;
}

} // namespace oriole::contracts

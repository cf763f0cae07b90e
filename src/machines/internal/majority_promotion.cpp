#include "machines/internal/majority_promotion.h"

#include <algorithm>
#include <utility>

namespace oriole::machines {

majority_promotion::majority_promotion(promotion_plan plan)
    : m_plan(std::move(plan)), m_highest_term(m_plan.term) {}

std::vector<promotion_action> majority_promotion::start() {
    m_state = promotion_state::fencing;
    actions requests;
    for (const auto& server : m_plan.members) {
        requests.push_back(request(promotion_request::fence, server));
    }
    return requests;
}

std::vector<promotion_action> majority_promotion::handle(const promotion_event& event) {
    const bool current = std::visit([this](const auto& e) { return e.term == m_plan.term; }, event);
    if (!current || m_state == promotion_state::idle || m_state == promotion_state::failed) {
        return {};
    }
    return std::visit([this](const auto& e) { return on(e); }, event);
}

majority_promotion::actions majority_promotion::on(const server_fenced& event) {
    if (m_state != promotion_state::fencing || !m_plan.members.contains(event.server)) {
        return {};
    }
    m_fenced[event.server] = event.last_entry;
    // Once every server has answered, promote. With only a majority fenced, promote if the longest
    // log is at a preferred server; otherwise wait for the remaining answers or a
    // `promotion_timeout`.
    const bool majority_fenced = m_fenced.size() >= m_plan.majority();
    const bool all_answered = m_fenced.size() + m_refused.size() == m_plan.members.size();
    const bool preferred_has_longest =
        m_plan.preferred.empty() || m_plan.preferred.contains(longest_log());
    if (majority_fenced && (all_answered || preferred_has_longest)) {
        return promote_longest_log();
    }
    return {};
}

majority_promotion::actions majority_promotion::on(const server_promoted& event) {
    if (m_state != promotion_state::promoting || event.server != m_chosen) {
        return {};
    }
    m_state = promotion_state::redirecting;
    m_following.insert(event.server);
    return redirect_others();
}

majority_promotion::actions majority_promotion::on(const server_follows& event) {
    if (m_state != promotion_state::redirecting || !m_plan.members.contains(event.server)) {
        return {};
    }
    m_following.insert(event.server);
    if (m_following.size() >= m_plan.majority()) {
        m_state = promotion_state::done;
    }
    return {};
}

majority_promotion::actions majority_promotion::on(const server_refused& event) {
    m_highest_term = std::max(m_highest_term, event.accepted_term);
    if (m_state == promotion_state::done) {
        return {};
    }
    if (m_state != promotion_state::fencing) {
        // The chosen server has accepted a higher term, so it cannot be promoted in this one. A
        // refusal to follow is harmless as long as a majority follows.
        if (m_state == promotion_state::promoting && event.server == m_chosen) {
            m_state = promotion_state::failed;
        }
        return {};
    }
    m_refused.insert(event.server);
    m_fenced.erase(event.server);
    if (m_plan.members.size() - m_refused.size() < m_plan.majority()) {
        m_state = promotion_state::failed;
        return {};
    }
    const bool all_answered = m_fenced.size() + m_refused.size() == m_plan.members.size();
    return all_answered ? promote_longest_log() : actions{};
}

majority_promotion::actions majority_promotion::on(const server_unresponsive& event) const {
    if (m_state == promotion_state::fencing && !m_fenced.contains(event.server) &&
        !m_refused.contains(event.server)) {
        return {request(promotion_request::fence, event.server)};
    }
    // Only the chosen server may be asked to become primary in this term. Asking a second server
    // could lead to two primaries.
    if (m_state == promotion_state::promoting && event.server == m_chosen) {
        return {request(promotion_request::promote, event.server)};
    }
    const bool redirecting =
        m_state == promotion_state::redirecting || m_state == promotion_state::done;
    if (redirecting && !m_following.contains(event.server)) {
        return {request(promotion_request::follow, event.server)};
    }
    return {};
}

majority_promotion::actions majority_promotion::on(const promotion_timeout& event) {
    if (event.state != m_state || m_state == promotion_state::done) {
        return {};
    }
    if (m_state == promotion_state::fencing && m_fenced.size() >= m_plan.majority()) {
        return promote_longest_log();
    }
    m_state = promotion_state::failed;
    return {};
}

majority_promotion::actions majority_promotion::promote_longest_log() {
    m_state = promotion_state::promoting;
    m_chosen = longest_log();
    return {request(promotion_request::promote, *m_chosen)};
}

server_name majority_promotion::longest_log() const {
    const auto less_preferable = [this](const auto& a, const auto& b) {
        const auto key = [this](const auto& fenced) {
            return std::pair(fenced.second, m_plan.preferred.contains(fenced.first));
        };
        return key(a) < key(b);
    };
    return std::max_element(m_fenced.begin(), m_fenced.end(), less_preferable)->first;
}

majority_promotion::actions majority_promotion::redirect_others() {
    if (m_following.size() >= m_plan.majority()) {
        m_state = promotion_state::done;
    }
    actions requests;
    for (const auto& server : m_plan.members) {
        if (server != m_chosen) {
            requests.push_back(request(promotion_request::follow, server));
        }
    }
    return requests;
}

promotion_action majority_promotion::request(promotion_request kind,
                                             const server_name& server) const {
    promotion_action action{kind, server, m_plan.term, {}};
    if (kind == promotion_request::follow) {
        action.primary = *m_chosen;
    }
    return action;
}

std::unique_ptr<promotion> make_promotion(promotion_plan plan) {
    return std::make_unique<majority_promotion>(std::move(plan));
}

} // namespace oriole::machines

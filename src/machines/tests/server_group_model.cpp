#include "server_group_model.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace oriole::machines {
namespace {

constexpr unsigned term_shift = 32;

std::uint64_t term_of(std::uint64_t entry) {
    return entry >> term_shift;
}

log_position last_of(const std::vector<std::uint64_t>& log) {
    return log.empty() ? log_position{} : log_position{term_of(log.back()), log.size()};
}

std::uint32_t draw(std::uint32_t& choice, std::size_t options) {
    const auto chosen = choice % static_cast<std::uint32_t>(options);
    choice /= static_cast<std::uint32_t>(options);
    return chosen;
}

} // namespace

server_group_model::server_group_model() {
    const server_name first{"s1"};
    for (const auto* name : {"s1", "s2", "s3"}) {
        m_servers[server_name{name}].following = first;
    }
    m_servers[first].primary = true;
}

void server_group_model::step(std::uint32_t choice) {
    constexpr std::uint32_t action_kinds = 32;
    constexpr std::uint32_t first_write = 5;
    constexpr std::uint32_t first_fetch = 9;
    constexpr std::uint32_t first_delivery = 15;
    const auto kind = draw(choice, action_kinds);
    if (kind >= first_delivery) {
        return deliver(choice, false);
    }
    if (kind >= first_fetch) {
        return fetch(choice);
    }
    if (kind >= first_write) {
        return write(choice);
    }
    switch (kind) {
    case 0:
        return start_promoter(choice);
    case 1:
        return send_promoter_event(choice);
    case 2:
        return deliver(choice, true);
    case 3:
        return drop_message(choice);
    default:
        return toggle_pause(choice);
    }
}

void server_group_model::drop_message(std::uint32_t choice) {
    if (!m_network.empty()) {
        m_network.erase(m_network.begin() + draw(choice, m_network.size()));
    }
}

void server_group_model::toggle_pause(std::uint32_t choice) {
    auto& s = pick_server(choice);
    // Servers are resumed more readily than paused, so that most schedules make progress.
    if (s.paused || draw(choice, 4) == 0) {
        s.paused = !s.paused;
    }
}

server_group_model::server& server_group_model::pick_server(std::uint32_t choice) {
    return std::next(m_servers.begin(), draw(choice, m_servers.size()))->second;
}

void server_group_model::deliver(std::uint32_t choice, bool duplicate) {
    if (m_network.empty()) {
        return;
    }
    // Half of the deliveries choose among the most recent messages; otherwise few schedules would
    // complete a promotion.
    constexpr std::size_t recent = 4;
    const auto size = m_network.size();
    const auto window = draw(choice, 2) == 0 ? std::min(recent, size) : size;
    const auto place = m_network.end() - 1 - draw(choice, window);
    const auto taken = *place;
    if (!duplicate) {
        m_network.erase(place);
    }
    std::visit([this](const auto& m) { handle(m); }, taken);
}

void server_group_model::handle(const request_message& m) {
    auto& s = m_servers.at(m.action.server);
    if (s.paused) {
        m_network.emplace_back(m);
        return;
    }
    const auto promoter = std::to_string(m.promoter);
    switch (m.action.request) {
    case promotion_request::fence:
        m_network.emplace_back(answer_message{fence(s, m.action, promoter), m.promoter});
        return;
    case promotion_request::promote:
        m_network.emplace_back(answer_message{promote(s, m.action, promoter), m.promoter});
        return;
    case promotion_request::follow:
        m_network.emplace_back(answer_message{follow(s, m.action), m.promoter});
        return;
    }
}

promotion_event server_group_model::fence(server& s, const promotion_action& a,
                                          const std::string& promoter) {
    if (a.term < s.term || (a.term == s.term && s.promoter != promoter)) {
        return server_refused{a.server, a.term, s.term};
    }
    if (a.term > s.term) {
        s.term = a.term;
        s.promoter = promoter;
        s.primary = false;
        s.following.reset();
    }
    return server_fenced{a.server, a.term, last_of(s.log)};
}

promotion_event server_group_model::promote(server& s, const promotion_action& a,
                                            const std::string& promoter) {
    if (a.term != s.term || s.promoter != promoter) {
        return server_refused{a.server, a.term, s.term};
    }
    if (!s.primary) {
        s.primary = true;
        s.following = a.server;
        ++m_promotions;
        check_primary(s);
        s.log.push_back((s.term << term_shift) + m_next_entry++);
    }
    return server_promoted{a.server, a.term};
}

promotion_event server_group_model::follow(server& s, const promotion_action& a) {
    if (a.term < s.term || (a.term == s.term && s.primary)) {
        return server_refused{a.server, a.term, s.term};
    }
    s.term = a.term;
    s.primary = false;
    s.following = a.primary;
    return server_follows{a.server, a.term};
}

void server_group_model::handle(const answer_message& m) {
    send(m.promoter, m_promoters[m.promoter]->handle(m.event));
}

void server_group_model::handle(const fetched_message& m) {
    auto& s = m_servers.at(m.replica);
    if (s.term != m.term || s.primary) {
        return;
    }
    // An answer that arrives after a later one of the same primary must not shorten the log.
    const bool is_outdated =
        s.log.size() >= m.log.size() && std::equal(m.log.begin(), m.log.end(), s.log.begin());
    if (!is_outdated) {
        s.log = m.log;
    }
}

void server_group_model::handle(const confirm_message& m) {
    const auto& s = m_servers.at(m.server);
    if (s.term != m.term) {
        return;
    }
    if (!contains(s.log, m.offset, m.entry)) {
        // The server waits for the entry unless it has a different one at that offset.
        if (s.log.size() <= m.offset) {
            m_network.insert(m_network.begin(), m);
        }
        return;
    }
    const auto [known, is_new] = m_confirmed.emplace(m.offset, m.entry);
    if (known->second != m.entry) {
        m_violation = "two different entries are confirmed at one offset";
    }
    for (const auto& [name, other] : m_servers) {
        if (other.primary && other.term > m.term) {
            check_primary(other);
        }
    }
}

void server_group_model::check_primary(const server& s) {
    for (const auto& [offset, entry] : m_confirmed) {
        if (term_of(entry) < s.term && !contains(s.log, offset, entry)) {
            m_violation = "a later primary lacks a confirmed entry";
        }
    }
}

bool server_group_model::contains(const log_entries& log, std::size_t offset, std::uint64_t entry) {
    return offset < log.size() && log[offset] == entry;
}

void server_group_model::write(std::uint32_t choice) {
    auto& s = pick_server(choice);
    if (!s.primary || s.paused) {
        return;
    }
    const auto entry = (s.term << term_shift) + m_next_entry++;
    s.log.push_back(entry);
    for (const auto& [name, other] : m_servers) {
        if (&other != &s) {
            m_network.emplace_back(confirm_message{name, s.term, s.log.size() - 1, entry});
        }
    }
}

void server_group_model::fetch(std::uint32_t choice) {
    const auto replica = std::next(m_servers.begin(), draw(choice, m_servers.size()));
    const auto& s = replica->second;
    if (s.paused || s.primary || !s.following) {
        return;
    }
    const auto& source = m_servers.at(*s.following);
    if (!source.primary || source.term != s.term || source.paused) {
        return;
    }
    // The answer has the common prefix of both logs and any number of the entries after it.
    auto log = source.log;
    const auto common = static_cast<std::size_t>(
        std::mismatch(s.log.begin(), s.log.end(), log.begin(), log.end()).second - log.begin());
    log.resize(common + draw(choice, log.size() - common + 1));
    m_network.emplace_back(fetched_message{replica->first, s.term, std::move(log)});
}

void server_group_model::start_promoter(std::uint32_t choice) {
    constexpr std::size_t max_promoters = 12;
    if (m_promoters.size() >= max_promoters || draw(choice, 3) != 0) {
        return;
    }
    promotion_plan plan;
    for (const auto& [name, s] : m_servers) {
        plan.members.insert(name);
        if (draw(choice, 2) == 0) {
            plan.preferred.insert(name);
        }
    }
    // The promoter knows the term of one random server only, so concurrent promoters often use the
    // same term.
    plan.term = pick_server(choice).term + 1;
    m_promoter_terms.push_back(plan.term);
    m_promoters.push_back(make_promotion(plan));
    send(m_promoters.size() - 1, m_promoters.back()->start());
}

void server_group_model::send_promoter_event(std::uint32_t choice) {
    if (m_promoters.empty()) {
        return;
    }
    const std::size_t index = draw(choice, m_promoters.size());
    auto& chosen = *m_promoters[index];
    const auto term = m_promoter_terms[index];
    const auto target = std::next(m_servers.begin(), draw(choice, m_servers.size()))->first;
    if (draw(choice, 3) == 0) {
        return send(index, chosen.handle(promotion_timeout{chosen.state(), term}));
    }
    send(index, chosen.handle(server_unresponsive{target, term}));
}

void server_group_model::send(std::size_t promoter, const std::vector<promotion_action>& actions) {
    for (const auto& action : actions) {
        m_network.emplace_back(request_message{action, promoter});
    }
}

} // namespace oriole::machines

#include "app/internal/share_supervisor.h"

#include <utility>

namespace oriole::app {
namespace {

constexpr clock::duration division_interval = std::chrono::seconds(1);

} // namespace

template <class Handler>
auto share_supervisor::while_alive(Handler handler) {
    return
        [alive = std::weak_ptr<bool>(m_alive), handler = std::move(handler)](auto&&... arguments) {
            if (!alive.expired()) {
                handler(std::forward<decltype(arguments)>(arguments)...);
            }
        };
}

share_supervisor::share_supervisor(std::unique_ptr<contracts::share_agent> agent,
                                   std::unique_ptr<contracts::share_divider> divider,
                                   const ports& outside)
    : m_agent(std::move(agent)), m_divider(std::move(divider)), m_ports(outside) {}

void share_supervisor::set_view(contracts::share_view view) {
    m_agent->set_view(std::move(view));
}

void share_supervisor::set_rates(std::map<account_name, contracts::rate> rates) {
    m_agent->set_rates(std::move(rates));
}

void share_supervisor::add_demand(std::size_t thread, const account_name& account, double weight) {
    m_agent->add_demand(account, weight);
    m_divider->add_demand(thread, account, weight);
}

void share_supervisor::tick() {
    if (now() >= m_next_division) {
        m_next_division = now() + division_interval;
        m_divider->advance();
        m_division_due = m_division_due || m_divider->has_pending_increase();
    }
    add_step(m_agent->tick(now()));
}

void share_supervisor::on_share_request(const contracts::share_request& ask) {
    add_step(m_agent->on_share_request(ask, now()));
}

void share_supervisor::on_share_response(const contracts::share_response& give) {
    add_step(m_agent->on_share_response(give, now()));
}

void share_supervisor::leave(std::function<void()> on_left) {
    add_step(m_agent->leave(now()), std::move(on_left));
}

bool share_supervisor::is_ready() const {
    return m_agent->is_ready(now());
}

void share_supervisor::add_step(contracts::share_actions actions, std::function<void()> done) {
    m_steps.push_back({std::move(actions), std::move(done)});
    run_steps();
}

void share_supervisor::run_steps() {
    while (!m_is_publishing && !m_steps.empty()) {
        if (m_steps.front().actions.shares_changed || m_division_due) {
            publish_reduced_shares();
            return;
        }
        const pending_step step = std::move(m_steps.front());
        m_steps.pop_front();
        execute_step(step);
    }
}

void share_supervisor::publish_reduced_shares() {
    m_is_publishing = true;
    m_division_due = false;
    m_ports.publisher.publish(m_divider->reduced_shares(m_agent->shares(now())),
                              while_alive([this] { on_reduced_shares_applied(); }));
}

void share_supervisor::on_reduced_shares_applied() {
    const pending_step step = std::move(m_steps.front());
    m_steps.pop_front();
    execute_step(step);
    if (m_divider->has_pending_increase()) {
        m_ports.publisher.publish(m_divider->next_shares(m_agent->shares(now())),
                                  while_alive([this] {
                                      m_is_publishing = false;
                                      run_steps();
                                  }));
        return;
    }
    m_is_publishing = false;
    run_steps();
}

void share_supervisor::execute_step(const pending_step& step) {
    const auto& actions = step.actions;
    for (const auto& [to, ask] : actions.share_requests) {
        m_ports.peers.send(to, ask);
    }
    for (const auto& [to, give] : actions.share_responses) {
        m_ports.peers.send(to, give);
    }
    if (actions.read_ledger) {
        read_ledger();
    }
    if (actions.write_ledger) {
        write_ledger(*actions.write_ledger);
    }
    if (step.done) {
        step.done();
    }
}

void share_supervisor::read_ledger() {
    m_ports.store.read(
        while_alive([this](std::optional<share_ledger_store::versioned_ledger> read) {
            if (!read) {
                m_agent->on_ledger_unavailable();
                return;
            }
            add_step(m_agent->on_ledger(std::move(read->ledger), read->version, now()));
        }));
}

void share_supervisor::write_ledger(const contracts::share_ledger_write& write) {
    m_ports.store.write(
        write, while_alive([this](contracts::ledger_write_result result, std::uint64_t version) {
            add_step(m_agent->on_written(result, version, now()));
        }));
}

} // namespace oriole::app

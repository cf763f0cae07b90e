#include "contracts/study/simulated_fleet.h"

#include "contracts/internal/leased_share_agent.h"
#include "contracts/internal/leased_share_holding.h"
#include "contracts/internal/ledger_share_planner.h"
#include "contracts/internal/smoothed_demand_meter.h"
#include "contracts/internal/token_bucket_rate_limiter.h"
#include "contracts/study/message_size.h"

#include <algorithm>
#include <utility>

namespace oriole::contracts {
namespace {

/// Time after which an instance treats a platform call as unanswered.
constexpr clock::duration platform_timeout = std::chrono::seconds(1);

[[nodiscard]] clock::duration scale(clock::duration value, double factor) {
    return std::chrono::duration_cast<clock::duration>(std::chrono::duration<double>(value) *
                                                       factor);
}

[[nodiscard]] std::unique_ptr<share_holding>
make_holding(const fleet_options& options, const instance_id& id, const zone_name& zone) {
    if (options.make_holding) {
        return options.make_holding(id, zone);
    }
    return std::make_unique<leased_share_holding>(id, zone, options.lease);
}

[[nodiscard]] std::unique_ptr<share_agent>
make_agent(const fleet_options& options, const instance_id& id, const zone_name& zone) {
    const auto zones = static_cast<std::uint32_t>(options.zones.size());
    const share_ledger empty(options.slots_per_zone, options.slots_per_zone * zones,
                             loan_half / zones);
    leased_share_agent::components components;
    components.holding = make_holding(options, id, zone);
    components.planner = std::make_unique<ledger_share_planner>(id, zone, options.lease);
    components.meter = std::make_unique<smoothed_demand_meter>();
    return std::make_unique<leased_share_agent>(id, zone, empty, std::move(components));
}

} // namespace

simulated_fleet::simulated_fleet(fleet_options options)
    : m_options(std::move(options)), m_random(make_random_source(m_options.seed)) {}

std::size_t simulated_fleet::start(const zone_name& zone) {
    const std::size_t index = m_instances.size();
    instance& added = m_instances.emplace_back();
    added.id = instance_id(make_unique_id(*m_random));
    added.zone = zone;
    added.clock_start = scale(std::chrono::hours(1000), random());
    added.clock_speed = 1 + m_options.max_clock_drift * (2 * random() - 1);
    added.agent = make_agent(m_options, added.id, zone);
    added.limiter = std::make_unique<token_bucket_rate_limiter>();
    m_index.emplace(added.id, index);
    set_rates(index, m_options.rates);
    added.agent->set_view(view_for(added));
    schedule_view_update();
    schedule(scale(m_options.tick, random()), [this, index] { tick(index); });
    return index;
}

void simulated_fleet::kill(std::size_t index) {
    m_instances[index].is_alive = false;
    schedule_view_update();
}

void simulated_fleet::stop(std::size_t index) {
    instance& at = m_instances[index];
    if (!can_answer(index)) {
        kill(index);
        return;
    }
    execute_actions(index, at.agent->leave(local(at)));
    kill(index);
}

void simulated_fleet::pause(std::size_t index, clock::duration length) {
    m_instances[index].paused_until = std::max(m_instances[index].paused_until, m_now + length);
}

void simulated_fleet::set_rates(std::size_t index, std::map<account_name, rate> rates) {
    instance& at = m_instances[index];
    at.rates = std::move(rates);
    at.agent->set_rates(at.rates);
    at.applied_shares.clear();
    apply_shares(at);
}

bool simulated_fleet::offer(std::size_t index, const account_name& account, double weight) {
    report_demand(index, account, weight);
    return spend(index, account, weight);
}

void simulated_fleet::report_demand(std::size_t index, const account_name& account, double weight) {
    if (can_answer(index)) {
        m_instances[index].agent->add_demand(account, weight);
    }
}

bool simulated_fleet::spend(std::size_t index, const account_name& account, double weight) {
    if (!can_answer(index)) {
        return false;
    }
    instance& at = m_instances[index];
    return at.limiter->try_spend(account, weight, local(at)).is_admitted();
}

void simulated_fleet::run_for(clock::duration length) {
    const clock::time_point end = m_now + length;
    while (!m_events.empty() && m_events.top().when <= end) {
        const event next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.run();
    }
    m_now = end;
}

bool simulated_fleet::can_answer(std::size_t index) const {
    return m_instances[index].is_alive && m_instances[index].paused_until <= m_now;
}

bool simulated_fleet::is_ready(std::size_t index) const {
    const instance& at = m_instances[index];
    return can_answer(index) && at.agent->is_ready(local(at));
}

double simulated_fleet::random() {
    constexpr int unused_bits = 11;
    constexpr double scale_to_one = 1.0 / 9007199254740992.0; // 2^53
    return static_cast<double>(m_random->next() >> unused_bits) * scale_to_one;
}

std::size_t simulated_fleet::random_index(std::size_t size) {
    return static_cast<std::size_t>(m_random->next() % size);
}

clock::time_point simulated_fleet::local(const instance& at) const {
    return clock::time_point(at.clock_start) + scale(m_now.time_since_epoch(), at.clock_speed);
}

clock::duration simulated_fleet::delay() {
    if (happens(m_options.late_probability)) {
        return scale(m_options.max_late_delay, random());
    }
    return m_options.min_delay + scale(m_options.max_delay - m_options.min_delay, random());
}

void simulated_fleet::schedule(clock::duration after, std::function<void()> run) {
    m_events.push({m_now + after, ++m_order, std::move(run)});
}

void simulated_fleet::deliver(std::size_t index, std::function<share_actions(instance&)> step) {
    instance& at = m_instances[index];
    if (!at.is_alive) {
        return;
    }
    if (at.paused_until > m_now) {
        schedule(at.paused_until - m_now,
                 [this, index, step = std::move(step)] { deliver(index, step); });
        return;
    }
    execute_actions(index, step(at));
}

void simulated_fleet::execute_actions(std::size_t index, share_actions actions) {
    instance& at = m_instances[index];
    if (actions.shares_changed) {
        apply_shares(at);
    }
    for (auto& [to, request] : actions.share_requests) {
        send(index, to, std::move(request));
    }
    for (auto& [to, response] : actions.share_responses) {
        send(index, to, std::move(response));
    }
    if (actions.read_ledger) {
        read_ledger(index);
    }
    if (actions.write_ledger) {
        write_ledger(index, *actions.write_ledger);
    }
}

void simulated_fleet::apply_shares(instance& at) {
    for (auto& [account, held] : at.agent->shares(local(at))) {
        const auto found = at.applied_shares.find(account);
        if (found != at.applied_shares.end() && found->second == held) {
            continue;
        }
        at.limiter->set_share(account, at.rates.at(account), held, local(at));
        at.applied_shares.insert_or_assign(account, held);
    }
}

void simulated_fleet::tick(std::size_t index) {
    if (!m_instances[index].is_alive) {
        return;
    }
    if (can_answer(index)) {
        instance& at = m_instances[index];
        execute_actions(index, at.agent->tick(local(at)));
    }
    schedule(m_options.tick, [this, index] { tick(index); });
}

template <class Message>
void simulated_fleet::send(std::size_t from, const instance_id& to, Message message) {
    const auto size = estimated_size(message);
    auto count = [size](traffic& at) {
        ++at.messages;
        at.bytes += size;
    };
    count(m_instances[from].sent_and_received);
    const auto found = m_index.find(to);
    if (found == m_index.end()) {
        return;
    }
    const int copies = happens(m_options.duplication_probability) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (happens(m_options.loss_probability)) {
            continue;
        }
        const std::size_t target = found->second;
        schedule(delay(), [this, target, message, count] {
            deliver(target, [this, message, count](instance& at) {
                count(at.sent_and_received);
                if constexpr (std::is_same_v<Message, share_request>) {
                    return at.agent->on_share_request(message, local(at));
                } else {
                    return at.agent->on_share_response(message, local(at));
                }
            });
        });
    }
}

void simulated_fleet::read_ledger(std::size_t index) {
    if (!m_platform_is_up || happens(m_options.loss_probability)) {
        schedule(platform_timeout, [this, index] {
            deliver(index, [](instance& at) {
                at.agent->on_ledger_unavailable();
                return share_actions{};
            });
        });
        return;
    }
    schedule(delay(), [this, index] {
        const auto read = m_platform.get(m_instances[index].zone);
        schedule(delay(), [this, index, read] {
            deliver(index, [this, read](instance& at) {
                auto& counted = at.sent_and_received;
                ++counted.messages;
                counted.bytes += read.ledger ? estimated_size(*read.ledger) : 0;
                return at.agent->on_ledger(read.ledger, read.version, local(at));
            });
        });
    });
}

void simulated_fleet::write_ledger(std::size_t index, const share_ledger_write& write) {
    auto& counted = m_instances[index].sent_and_received;
    ++counted.messages;
    counted.bytes += estimated_size(write.ledger);
    if (!m_platform_is_up || happens(m_options.loss_probability)) {
        schedule(platform_timeout,
                 [this, index] { finish_write(index, ledger_write_result::unknown, 0); });
        return;
    }
    // The response can be lost after the write took effect, or the call can time out before it
    // does.
    const bool is_response_lost = happens(m_options.loss_probability);
    const clock::duration request_delay = delay();
    const clock::duration response_delay = delay();
    const bool times_out = is_response_lost || request_delay + response_delay > platform_timeout;
    schedule(request_delay, [this, index, write, times_out, response_delay] {
        const auto version = m_platform.put(m_instances[index].zone, write);
        if (!times_out) {
            schedule(response_delay, [this, index, version] {
                finish_write(index,
                             version ? ledger_write_result::stored : ledger_write_result::conflict,
                             version.value_or(0));
            });
        }
    });
    if (times_out) {
        schedule(platform_timeout,
                 [this, index] { finish_write(index, ledger_write_result::unknown, 0); });
    }
}

void simulated_fleet::finish_write(std::size_t index, ledger_write_result result,
                                   std::uint64_t version) {
    deliver(index, [this, result, version](instance& at) {
        return at.agent->on_written(result, version, local(at));
    });
}

void simulated_fleet::schedule_view_update() {
    // Several changes at the same time are published together.
    if (m_view_update_due == m_now + m_options.detection_delay) {
        return;
    }
    m_view_update_due = m_now + m_options.detection_delay;
    schedule(m_options.detection_delay, [this] { set_views(); });
}

void simulated_fleet::set_views() {
    for (auto& at : m_instances) {
        if (at.is_alive) {
            at.agent->set_view(view_for(at));
        }
    }
}

share_view simulated_fleet::view_for(const instance& at) {
    std::set<instance_id> peers;
    std::map<zone_name, instance_id> coordinators;
    std::map<zone_name, std::vector<instance_id>> live;
    for (const auto& other : m_instances) {
        if (other.is_alive) {
            live[other.zone].push_back(other.id);
        }
    }
    for (const auto& [zone, ids] : live) {
        const auto lowest = std::min_element(ids.begin(), ids.end());
        coordinators[zone] =
            m_options.random_coordinators ? ids[random_index(ids.size())] : *lowest;
    }
    for (const auto& id : live[at.zone]) {
        if (id != at.id) {
            peers.insert(id);
        }
    }
    return {std::move(peers), std::move(coordinators)};
}

} // namespace oriole::contracts

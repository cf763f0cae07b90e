#pragma once

#include "base/random_source.h"
#include "contracts/rate_limiter.h"
#include "contracts/share_agent.h"
#include "contracts/study/fleet_options.h"
#include "contracts/study/reference_bucket.h"
#include "contracts/study/simulated_platform.h"

#include <deque>
#include <functional>
#include <queue>
#include <vector>

namespace oriole::contracts {

/// A simulated fleet of instances with share agents and rate limiters. Each instance has its own
/// clock; messages may be lost, duplicated, delayed and reordered, and the platform may be
/// unavailable. Used by the study program and by the tests of the rate invariant. Not thread-safe.
class simulated_fleet {
public:
    /// Messages that one instance has sent and received.
    struct traffic {
        std::uint64_t messages = 0;
        std::uint64_t bytes = 0;
    };

    explicit simulated_fleet(fleet_options options);

    /// Starts an instance and returns its index. Indices count from 0 and are never reused.
    std::size_t start(const zone_name& zone);

    /// Stops an instance abruptly, as a crash does; it sends no messages.
    void kill(std::size_t index);

    /// Stops an instance in a planned way, after it has returned its shares.
    void stop(std::size_t index);

    /// Suspends the instance for that time. Its clock keeps running, and messages to it are
    /// delivered afterwards.
    void pause(std::size_t index, clock::duration length);

    void set_platform(bool is_up) { m_platform_is_up = is_up; }

    /// Changes the rates of one instance only, as when it receives a new configuration.
    void set_rates(std::size_t index, std::map<account_name, rate> rates);

    void set_rates_of_new_instances(std::map<account_name, rate> rates) {
        m_options.rates = std::move(rates);
    }

    /// Sends a caller's request to an instance. Returns false if it is refused or the instance
    /// cannot answer.
    bool offer(std::size_t index, const account_name& account, double weight);

    /// The two steps of `offer`, for tests in which an instance spends more than it reports.
    void report_demand(std::size_t index, const account_name& account, double weight);
    bool spend(std::size_t index, const account_name& account, double weight);

    /// Advances the simulated time and executes all events due within it.
    void run_for(clock::duration length);

    [[nodiscard]] clock::time_point now() const noexcept { return m_now; }

    [[nodiscard]] bool can_answer(std::size_t index) const;

    /// Whether the load balancer sends requests to the instance: it can answer and its share agent
    /// is ready.
    [[nodiscard]] bool is_ready(std::size_t index) const;

    [[nodiscard]] bool is_alive(std::size_t index) const { return m_instances[index].is_alive; }

    [[nodiscard]] std::size_t size() const noexcept { return m_instances.size(); }

    [[nodiscard]] const traffic& traffic_of(std::size_t index) const {
        return m_instances[index].sent_and_received;
    }

    /// Returns a random number, uniform in [0, 1).
    [[nodiscard]] double random();

    /// Returns a random index, uniform in [0, size).
    [[nodiscard]] std::size_t random_index(std::size_t size);

private:
    struct instance {
        instance_id id;
        zone_name zone;
        bool is_alive = true;
        clock::time_point paused_until;
        clock::duration clock_start{};
        double clock_speed = 1;
        std::unique_ptr<share_agent> agent;
        std::unique_ptr<rate_limiter> limiter;
        std::map<account_name, rate> rates;
        std::map<account_name, share> applied_shares;
        traffic sent_and_received;
    };

    struct event {
        clock::time_point when;
        std::uint64_t order = 0;
        std::function<void()> run;

        friend bool operator>(const event& left, const event& right) {
            return std::pair(left.when, left.order) > std::pair(right.when, right.order);
        }
    };

    [[nodiscard]] clock::time_point local(const instance& at) const;
    [[nodiscard]] clock::duration delay();

    [[nodiscard]] bool happens(double probability) { return random() < probability; }

    void schedule(clock::duration after, std::function<void()> run);
    /// Executes `step` on the instance, or when its pause ends. Does nothing if the instance has
    /// stopped.
    void deliver(std::size_t index, std::function<share_actions(instance&)> step);
    void execute_actions(std::size_t index, share_actions actions);
    void apply_shares(instance& at);
    void tick(std::size_t index);
    template <class Message>
    void send(std::size_t from, const instance_id& to, Message message);
    void read_ledger(std::size_t index);
    void write_ledger(std::size_t index, const share_ledger_write& write);
    void finish_write(std::size_t index, ledger_write_result result, std::uint64_t version);
    void schedule_view_update();
    void set_views();
    [[nodiscard]] share_view view_for(const instance& at);

    fleet_options m_options;
    std::unique_ptr<random_source> m_random;
    clock::time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::deque<instance> m_instances; // a deque keeps references valid when instances are added
    std::map<instance_id, std::size_t> m_index;
    simulated_platform m_platform;
    bool m_platform_is_up = true;
    clock::time_point m_view_update_due;
};

} // namespace oriole::contracts

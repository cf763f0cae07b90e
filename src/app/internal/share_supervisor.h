#pragma once

#include "app/internal/share_ledger_store.h"
#include "app/internal/share_peers.h"
#include "app/internal/share_publisher.h"
#include "base/clock.h"
#include "contracts/share_agent.h"
#include "contracts/share_divider.h"

#include <deque>
#include <memory>

namespace oriole::app {

/// Executes the decisions of the share agent on the control thread. When a decision reduces this
/// instance's shares, its messages and ledger writes are sent only after all traffic threads have
/// applied the reduction. Otherwise two instances could use the same part of a rate. Not
/// thread-safe. After destruction, handlers passed to the ports do nothing.
class share_supervisor {
public:
    /// The ledger store, the peers, the traffic threads and the clock. They must outlive the
    /// supervisor.
    struct ports {
        share_ledger_store& store;
        share_peers& peers;
        share_publisher& publisher;
        const clock& time;
    };

    share_supervisor(std::unique_ptr<contracts::share_agent> agent,
                     std::unique_ptr<contracts::share_divider> divider, const ports& outside);

    void set_view(contracts::share_view view);

    void set_rates(std::map<account_name, contracts::rate> rates);

    /// Adds the weight of requests that a traffic thread received, admitted or not.
    void add_demand(std::size_t thread, const account_name& account, double weight);

    /// Must be called every `share_agent::tick_interval`.
    void tick();

    void on_share_request(const contracts::share_request& ask);

    void on_share_response(const contracts::share_response& give);

    /// Returns all shares, for a graceful shutdown. `on_left` runs when the traffic threads no
    /// longer admit requests against the shares and the message that returns them has been sent.
    void leave(std::function<void()> on_left);

    /// Whether this instance is ready to serve callers.
    [[nodiscard]] bool is_ready() const;

private:
    struct pending_step {
        contracts::share_actions actions;
        std::function<void()> done;
    };

    void add_step(contracts::share_actions actions, std::function<void()> done = {});
    void run_steps();
    void publish_reduced_shares();
    void on_reduced_shares_applied();
    void execute_step(const pending_step& step);
    void read_ledger();
    void write_ledger(const contracts::share_ledger_write& write);

    [[nodiscard]] clock::time_point now() const { return m_ports.time.now(); }
    /// Wraps `handler` so that it does nothing after the supervisor has been destroyed.
    template <class Handler>
    [[nodiscard]] auto while_alive(Handler handler);

    std::unique_ptr<contracts::share_agent> m_agent;
    std::unique_ptr<contracts::share_divider> m_divider;
    ports m_ports;
    std::deque<pending_step> m_steps;
    bool m_is_publishing = false;
    bool m_division_due = false;
    clock::time_point m_next_division;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace oriole::app

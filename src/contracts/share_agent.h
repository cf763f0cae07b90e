#pragma once

#include "base/clock.h"
#include "contracts/types/rate.h"
#include "contracts/types/share_actions.h"
#include "contracts/types/share_view.h"

#include <map>
#include <optional>

namespace oriole::contracts {

/// Result of a conditional write of the zone's share ledger.
enum class ledger_write_result {
    stored,
    conflict, ///< the platform holds another version of the ledger
    unknown   ///< no answer; the ledger must be read again to find out
};

/// Decides for one instance when to renew its shares, when to exchange shares with other instances
/// and, on the zone's coordinator, when to read and write the share ledger. It performs no I/O: its
/// owner executes the returned actions. Not thread-safe; owned by the control thread.
class share_agent {
public:
    virtual ~share_agent() = default;

    virtual void set_view(share_view view) = 0;

    /// Sets the rate of each account in the current configuration. Shares are fractions, so a
    /// changed rate needs no agreement: while instances have different configuration generations
    /// the fleet admits at most the higher of the two rates, and the new rate once all instances
    /// have it.
    virtual void set_rates(std::map<account_name, rate> rates) = 0;

    /// Adds the weight of requests that callers sent to this instance, whether or not they were
    /// admitted.
    virtual void add_demand(const account_name& account, double weight) = 0;

    /// Must be called every `tick_interval`.
    [[nodiscard]] virtual share_actions tick(clock::time_point now) = 0;

    [[nodiscard]] virtual share_actions on_share_request(const share_request& request,
                                                         clock::time_point now) = 0;

    [[nodiscard]] virtual share_actions on_share_response(const share_response& response,
                                                          clock::time_point now) = 0;

    /// Called with the result of the action `read_ledger`; `ledger` is empty if the platform stores
    /// none yet.
    [[nodiscard]] virtual share_actions on_ledger(std::optional<share_ledger> ledger,
                                                  std::uint64_t version, clock::time_point now) = 0;

    /// Called when the platform did not answer the action `read_ledger`.
    virtual void on_ledger_unavailable() = 0;

    /// Called with the result of the action `write_ledger`. `version` is the version of the new
    /// ledger if it was stored.
    [[nodiscard]] virtual share_actions
    on_written(ledger_write_result result, std::uint64_t version, clock::time_point now) = 0;

    /// Returns all shares to the coordinator before a planned stop. Afterwards the instance holds
    /// none.
    [[nodiscard]] virtual share_actions leave(clock::time_point now) = 0;

    /// The share of each account of the current configuration that this instance may spend now.
    [[nodiscard]] virtual std::map<account_name, share> shares(clock::time_point now) const = 0;

    /// Whether the instance should receive requests: it has held shares long enough for the token
    /// buckets to fill. A joining instance should not report ready earlier.
    [[nodiscard]] virtual bool is_ready(clock::time_point now) const = 0;

    static constexpr clock::duration tick_interval = std::chrono::milliseconds(100);
};

} // namespace oriole::contracts

#pragma once

#include "base/clock.h"
#include "fleet/role_assignment.h"
#include "fleet/types/account_share.h"
#include "fleet/types/configuration.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oriole::fleet {

/// Computes how much of each account's rate limit this instance may admit. The accounts are divided
/// into rate groups. Each owner of a group owns a fixed fraction of the group's rates and lends it
/// to the group's coordinator, which then admits operations for the whole fleet. A loan expires
/// unless the coordinator renews it, so an owner that is cut off from the coordinator continues
/// with its own fraction, and the fractions in use never add up to more than the rate. All times
/// are of the boot clock, which also counts time in suspension. Not thread-safe; owned by the
/// control thread.
class rate_lending {
public:
    explicit rate_lending(registered_instance own) : m_own(std::move(own)), m_groups(rate_groups) {}

    /// Applies a new role assignment. `instances` is the number of all live instances.
    void set_roles(const role_assignment& roles, std::size_t instances, clock::time_point now);

    /// The rate groups that this instance coordinates.
    [[nodiscard]] std::set<int> coordinated_groups() const;

    /// Handles a coordinator's request for loans of `groups`. Returns the groups that were lent.
    [[nodiscard]] std::set<int> lend(const instance_id& coordinator, const std::set<int>& groups,
                                     clock::time_point now);

    /// Ends this instance's loans to `coordinator`, except those of the groups in `kept`.
    void release_loans(const instance_id& coordinator, const std::set<int>& kept);

    /// Records that `owner` lent its fraction of the groups, in answer to a request sent at
    /// `asked`.
    void record_loans(const instance_id& owner, const std::set<int>& groups,
                      clock::time_point asked);

    /// The share of the account's rate limit that this instance may admit at `now`.
    [[nodiscard]] account_share share_of(const account& limits, clock::time_point now) const;

private:
    struct loan {
        instance_id coordinator;
        clock::time_point until{}; ///< when the loan expires
    };

    struct group_state {
        bool is_coordinator = false;                    ///< this instance is the coordinator
        double own_fraction = 0;                        ///< 0 when this instance is not an owner
        std::map<instance_id, double> fractions;        ///< fractions of all owners
        std::map<instance_id, clock::time_point> loans; ///< expiry of loans to this instance
        std::optional<loan> lent;                       ///< the current loan by this instance
        /// When this instance may start to use its own fraction: until then a loan by a previous
        /// process of this instance may still run.
        clock::time_point usable_from{};
    };

    [[nodiscard]] double usable_fraction(const group_state& group, clock::time_point now) const;

    registered_instance m_own;
    std::vector<group_state> m_groups;
    std::size_t m_instances = 1;
    bool m_started = false; ///< whether set_roles() has been called
};

} // namespace oriole::fleet

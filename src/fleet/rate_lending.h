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

/// This instance's part in the accounts' rates. Each holder of a group of accounts owns a fixed
/// part of their rates and lends it to the group's keeper, which then admits operations for the
/// whole fleet. A loan ends by itself when the keeper does not renew it, so a holder that is cut
/// off from the keeper goes on with its own part, and the parts never add up to more than the rate.
/// Times are of the boot clock, which counts suspensions. Not thread-safe; owned by the control
/// thread.
class rate_lending {
public:
    explicit rate_lending(listed_instance own) : m_own(std::move(own)), m_groups(rate_groups) {}

    /// `instances` is the number of all live ones.
    void set_roles(const role_assignment& roles, std::size_t instances, clock::time_point now);

    /// The groups whose keeper this instance is.
    [[nodiscard]] std::set<int> kept_groups() const;

    /// A keeper asks for loans; the groups for which it gets one.
    [[nodiscard]] std::set<int> lend(const instance_id& keeper, const std::set<int>& groups,
                                     clock::time_point now);

    /// The keeper counts with no loans but those of `kept`, or has ended.
    void released(const instance_id& keeper, const std::set<int>& kept);

    /// The holder has lent its part of the groups when it was asked at `asked`.
    void borrowed(const instance_id& holder, const std::set<int>& groups, clock::time_point asked);

    /// What this instance may spend of the account's rate.
    [[nodiscard]] account_share share_of(const account& limits, clock::time_point now) const;

private:
    struct loan {
        instance_id keeper;
        clock::time_point until{};
    };

    struct group_state {
        bool keeps = false;
        double own_part = 0;                            ///< 0 when this instance is no holder
        std::map<instance_id, double> parts;            ///< of all holders
        std::map<instance_id, clock::time_point> loans; ///< to this instance, with their ends
        std::optional<loan> lent;                       ///< by this instance
        clock::time_point
            usable_from{}; ///< an earlier process may have lent the own part until then
    };

    [[nodiscard]] double part_of(const group_state& group, clock::time_point now) const;

    listed_instance m_own;
    std::vector<group_state> m_groups;
    std::size_t m_instances = 1;
    bool m_started = false; ///< the roles have been set once
};

} // namespace oriole::fleet

#pragma once

#include "base/types/name.h"
#include "fleet/types/account_share.h"
#include "fleet/types/configuration.h"
#include "fleet/types/demand_report.h"
#include "fleet/types/listed_instance.h"

#include <map>
#include <memory>
#include <vector>

namespace oriole::fleet {

/// Divides the accounts' rates over the instances by the demand that they report to one another. An
/// instance raises its own weight only after every other instance has confirmed the higher report,
/// so the parts never add up to more than the rate, whatever messages are lost or late. While one
/// has confirmed nothing, which a dead one never will, the rates are divided evenly. Not
/// thread-safe; owned by the control thread.
class share_division {
public:
    virtual ~share_division() = default;

    /// The instances that may spend, without this one. An instance with another incarnation than
    /// before has to confirm anew.
    virtual void set_peers(const std::vector<listed_instance>& peers) = 0;

    /// The operations per second that callers asked for here.
    virtual void set_demand(const std::map<account_name, double>& demand) = 0;

    /// What to tell the peer next. Until confirm() it counts as possibly delivered.
    [[nodiscard]] virtual demand_report report_for(const instance_id& peer) = 0;

    /// The peer has taken over the report of that number.
    virtual void confirm(const instance_id& peer, std::uint64_t number) = 0;

    /// Takes over another instance's report. False for one of an unknown instance or incarnation,
    /// which must not be confirmed.
    [[nodiscard]] virtual bool take(const demand_report& report) = 0;

    /// What this instance may spend of the account's rate.
    [[nodiscard]] virtual account_share share_of(const account& limits) const = 0;
};

[[nodiscard]] std::unique_ptr<share_division> make_share_division(const listed_instance& own);

} // namespace oriole::fleet

#pragma once

#include "contracts/demand_meter.h"
#include "contracts/key_directory.h"
#include "contracts/rate_limiter.h"
#include "contracts/share_agent.h"
#include "contracts/share_divider.h"
#include "contracts/types/access_key.h"
#include "contracts/types/client_account.h"
#include "contracts/types/service.h"
#include "contracts/types/share_ledger.h"
#include "contracts/usage_meter.h"

#include <map>
#include <memory>

namespace oriole::contracts {

/// Factory of the implementations in this folder. Thread-safe.
class contracts_module {
public:
    /// Keys whose account is not in `accounts` are treated as unknown.
    [[nodiscard]] static std::shared_ptr<const key_directory>
    make_key_directory(const std::map<key_name, access_key>& keys,
                       const std::map<account_name, client_account>& accounts,
                       const std::map<service_name, service>& services);

    /// Creates the rate limiter of one traffic thread. It refuses every request until it is given
    /// shares.
    [[nodiscard]] static std::unique_ptr<rate_limiter> make_rate_limiter();

    [[nodiscard]] static std::unique_ptr<demand_meter> make_demand_meter();

    /// Precondition: `threads` is positive.
    [[nodiscard]] static std::unique_ptr<share_divider> make_share_divider(std::size_t threads);

    /// Creates the usage counter of one traffic thread.
    [[nodiscard]] static std::unique_ptr<usage_counter> make_usage_counter();

    [[nodiscard]] static std::unique_ptr<usage_meter> make_usage_meter(const instance_id& self);

    /// `initial_ledger` is used while the platform stores no ledger for the instance's zone. It
    /// must be the same at all instances of the zone.
    [[nodiscard]] static std::unique_ptr<share_agent>
    make_share_agent(const instance_id& self, const zone_name& zone,
                     const share_ledger& initial_ledger);
};

} // namespace oriole::contracts

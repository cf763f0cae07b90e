#include "contracts/contracts_module.h"

#include "contracts/internal/cumulative_usage_meter.h"
#include "contracts/internal/digest_key_directory.h"
#include "contracts/internal/leased_share_agent.h"
#include "contracts/internal/leased_share_holding.h"
#include "contracts/internal/ledger_share_planner.h"
#include "contracts/internal/smoothed_demand_meter.h"
#include "contracts/internal/token_bucket_rate_limiter.h"
#include "contracts/internal/weighted_share_divider.h"

namespace oriole::contracts {

std::shared_ptr<const key_directory>
contracts_module::make_key_directory(const std::map<key_name, access_key>& keys,
                                     const std::map<account_name, client_account>& accounts,
                                     const std::map<service_name, service>& services) {
    return std::make_shared<digest_key_directory>(keys, accounts, services);
}

std::unique_ptr<rate_limiter> contracts_module::make_rate_limiter() {
    return std::make_unique<token_bucket_rate_limiter>();
}

std::unique_ptr<demand_meter> contracts_module::make_demand_meter() {
    return std::make_unique<smoothed_demand_meter>();
}

std::unique_ptr<share_divider> contracts_module::make_share_divider(std::size_t threads) {
    return std::make_unique<weighted_share_divider>(threads);
}

std::unique_ptr<usage_counter> contracts_module::make_usage_counter() {
    return std::make_unique<table_usage_counter>();
}

std::unique_ptr<usage_meter> contracts_module::make_usage_meter(const instance_id& self) {
    return std::make_unique<cumulative_usage_meter>(self);
}

std::unique_ptr<share_agent>
contracts_module::make_share_agent(const instance_id& self, const zone_name& zone,
                                   const share_ledger& initial_ledger) {
    leased_share_agent::components components;
    components.holding = std::make_unique<leased_share_holding>(self, zone, share_lease());
    components.planner = std::make_unique<ledger_share_planner>(self, zone, share_lease());
    components.meter = make_demand_meter();
    return std::make_unique<leased_share_agent>(self, zone, initial_ledger, std::move(components));
}

} // namespace oriole::contracts

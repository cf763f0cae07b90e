#pragma once

#include "entry/internal/gateway_calls.h"
#include "entry/internal/statement_executor.h"
#include "fleet/types/registered_instance.h"

#include <vector>

namespace oriole::entry {

/// Runs a service's statements at the zone's gateway, so that only a few instances need connections
/// to the service's servers. Uses this instance's own connections when it is the gateway itself or
/// cannot reach one. Precondition: the arguments of the constructor outlive the executor and its
/// transactions.
class forwarding_executor final : public statement_executor {
public:
    forwarding_executor(gateway_calls& calls, statement_executor& local)
        : m_calls(calls), m_local(local) {}

    /// Sets the gateways that are preferred over this instance, in order of preference.
    void set_gateways(std::vector<fleet::registered_instance> gateways) {
        m_gateways = std::move(gateways);
    }

    [[nodiscard]] boost::asio::awaitable<routing::run_outcome>
    run_autocommit(routing::statement_run run) override;

    [[nodiscard]] boost::asio::awaitable<routing::run_outcome>
    run_first(routing::statement_run run, bool reads_only,
              std::unique_ptr<statement_transaction>& transaction) override;

private:
    [[nodiscard]] std::vector<fleet::registered_instance> usable_gateways() const;

    gateway_calls& m_calls;
    statement_executor& m_local;
    std::vector<fleet::registered_instance> m_gateways;
};

} // namespace oriole::entry

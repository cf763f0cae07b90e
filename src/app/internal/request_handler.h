#pragma once

#include "app/internal/control_reports.h"
#include "app/internal/read_executor.h"
#include "app/internal/replication_confirmer.h"
#include "app/internal/request_accounting.h"
#include "app/internal/request_context.h"
#include "app/internal/traffic_state.h"
#include "app/internal/transaction_executor.h"
#include "app/internal/write_executor.h"
#include "base/metric_registry.h"
#include "base/random_source.h"
#include "contracts/rate_limiter.h"
#include "links/caller_server.h"

#include <variant>

namespace oriole::app {

/// Metrics of the answers sent to callers.
struct request_metrics {
    explicit request_metrics(metric_registry& registry);

    metric& done;
    metric& not_run;
    metric& unknown;
    metric& refused_by_rate;
    metric& reads_by_primary;
    metric& reads_by_replica;
};

/// Processes a caller's request: authenticates the key, looks up the service, checks that the
/// configuration is fresh and the rate allows the request, then runs the read, write or
/// transaction step. A request refused by any check was not executed and is reported as "not run".
/// Used on one traffic thread.
class request_handler {
public:
    struct dependencies {
        traffic_state& state;
        contracts::rate_limiter& limiter;
        contracts::retry_budget& budget;
        read_executor& reads;
        write_executor& writes;
        transaction_executor& transactions;
        random_source& random;
        request_metrics& metrics;
        request_accounting& accounting;
    };

    /// Precondition: the referenced objects outlive this object.
    explicit request_handler(dependencies provided) : m_dependencies(provided) {}

    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    handle(links::caller_request request, links::caller_identity& identity);

private:
    using context_or_refusal = std::variant<request_context, links::caller_answer>;

    [[nodiscard]] context_or_refusal admit(links::caller_request request,
                                           links::caller_identity& identity);
    [[nodiscard]] context_or_refusal authorize(links::caller_request request,
                                               links::caller_identity& identity) const;
    [[nodiscard]] std::optional<links::caller_answer>
    check_statements(const request_context& context) const;
    [[nodiscard]] std::optional<links::caller_answer>
    check_freshness(const request_context& context) const;
    [[nodiscard]] std::optional<links::caller_answer> check_rate(const request_context& context);
    [[nodiscard]] boost::asio::awaitable<links::caller_answer>
    execute(const request_context& context);
    void count(const request_context* context, const links::caller_answer& answer);

    dependencies m_dependencies;
};

} // namespace oriole::app

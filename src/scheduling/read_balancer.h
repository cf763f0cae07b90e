#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "base/types/name.h"
#include "scheduling/server_choice.h"
#include "scheduling/server_health.h"
#include "scheduling/server_load.h"
#include "scheduling/types/health_change.h"
#include "scheduling/types/read_request.h"
#include "scheduling/types/read_result.h"
#include "scheduling/types/read_share.h"
#include "scheduling/types/reader.h"
#include "scheduling/usual_times.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace oriole::scheduling {

/// Chooses the servers for one service's reads by their load and by what their answers show. Not
/// thread-safe.
class read_balancer {
public:
    explicit read_balancer(std::unique_ptr<random_source> random = make_random_source());

    /// Precondition: neither is null, and what `choice` refers to outlives the object, as `random`
    /// does.
    read_balancer(std::unique_ptr<random_source> random, std::unique_ptr<server_choice> choice);

    /// Returns the server for a read; empty when there are no servers. `zones` is the number of
    /// zones whose gateways share the primary and the servers of other zones. The read must be sent
    /// there, and its end recorded.
    [[nodiscard]] std::optional<server_name> choose(const std::vector<reader>& readers,
                                                    const read_request& request, int zones,
                                                    clock::time_point now);

    /// Records how a read ended.
    void record(const read_result& result, int zones, clock::time_point now);

    /// Records the time that opening a connection took.
    void record_open(clock::duration elapsed, clock::time_point now);

    /// Forgets what is known of the server, which was restarted or is gone. If it was ejected, that
    /// ends.
    void forget(const server_name& server);

    /// Returns the changes since the last call.
    [[nodiscard]] std::vector<health_change> take_health_changes();

    /// Returns the reads since the last call.
    [[nodiscard]] std::vector<read_share> take_read_shares();

private:
    struct server_state {
        explicit server_state(random_source& random) : health(random) {}

        server_load load;
        server_health health;
        std::int64_t reads = 0;
    };

    [[nodiscard]] server_state& state_of(const server_name& server);
    [[nodiscard]] read_suitability suitability_of(const reader& reader, server_health& health,
                                                  bool may_probe, clock::time_point now);
    void record_health(const read_result& result, int zones, server_health& health,
                       clock::time_point now);

    std::unique_ptr<random_source> m_random;
    std::unique_ptr<server_choice> m_choice;
    usual_times m_usual_times;
    usual_times m_open_times; ///< of a single kind
    std::map<server_name, server_state> m_servers;
    std::vector<health_change> m_health_changes;
};

} // namespace oriole::scheduling

#pragma once

#include "app/internal/configuration.h"
#include "base/clock.h"
#include "base/random_source.h"
#include "links/peer_link.h"
#include "links/platform_link.h"
#include "machines/membership.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace oriole::app {

/// Intervals and time-outs of the fleet supervisor, and the seed peers.
struct fleet_settings {
    machines::membership_settings membership;
    std::chrono::milliseconds tick_period{100};
    /// The platform's instance list is read at this interval, or at `list_period_per_member` times
    /// the number of members if that is longer. The list grows with the fleet, so a fixed interval
    /// would exceed the limit on control traffic: at 490 members of 200 bytes each, one list
    /// every 49 s is 2 KB/s.
    std::chrono::milliseconds list_period{5000};
    std::chrono::milliseconds list_period_per_member{100};
    /// Maximum duration of one watch request to the platform. Watchers can confirm the
    /// configuration only when a request ends, so this limits how old a confirmation can be.
    std::chrono::milliseconds watch_wait{1000};
    std::chrono::milliseconds platform_retry_delay{500};
    std::chrono::milliseconds anti_entropy_period{3000};
    std::chrono::milliseconds call_timeout{500};
    std::chrono::milliseconds fetch_timeout{3000};
    /// Peer endpoints that are contacted while no other member is known, for example when the
    /// instance starts during a platform outage.
    std::vector<endpoint> seeds;

    friend bool operator==(const fleet_settings&, const fleet_settings&) = default;
};

/// Dependencies of the fleet supervisor. All references outlive it and the io_context's run.
struct fleet_dependencies {
    boost::asio::any_io_executor executor; ///< of the control thread
    links::platform_link& platform;
    links::peer_link& peers;
    links::peer_server& server;
    const config_codec& codec;
    config_listener& listener;
    random_source& random;
};

/// Maintains this instance's membership in the fleet, fetches configurations from the platform or
/// from peers, and relays them to other instances. Used on the control thread; not thread-safe.
class fleet_supervisor {
public:
    virtual ~fleet_supervisor() = default;

    /// Starts the background tasks. Call once.
    virtual void start() = 0;

    /// Announces to the platform and the members that this instance accepts no new work. Does not
    /// throw when they cannot be reached.
    [[nodiscard]] virtual boost::asio::awaitable<void> announce_leaving() = 0;

    /// Stops the background tasks and removes the instance from the platform's list. Call after the
    /// last request has finished.
    [[nodiscard]] virtual boost::asio::awaitable<void> stop() = 0;

    /// Generation of the current configuration; 0 when there is none yet.
    [[nodiscard]] virtual std::uint64_t generation() const = 0;

    /// Last time at which the current configuration is known to have been the platform's latest;
    /// nullopt if unknown. This is the time before the request was sent, so that a slow answer or a
    /// suspended process makes the configuration appear older, never fresher.
    [[nodiscard]] virtual std::optional<clock::time_point> fresh_as_of() const = 0;

    /// All known members, this instance included.
    [[nodiscard]] virtual std::vector<machines::member_update> members() const = 0;
};

[[nodiscard]] std::shared_ptr<fleet_supervisor>
make_fleet_supervisor(const fleet_dependencies& dependencies, const machines::instance& self,
                      const fleet_settings& settings);

} // namespace oriole::app

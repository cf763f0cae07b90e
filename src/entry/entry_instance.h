#pragma once

#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "entry/caller_channel.h"
#include "entry/fleet_store.h"
#include "entry/types/entry_settings.h"
#include "machines/resource_account.h"
#include "routing/server_channel.h"
#include "usage/usage_authority.h"

#include <memory>

namespace oriole::entry {

/// Factory for the platform's services that an entry instance uses: network connections, the object
/// store, the promotion service and the service that accepts usage reports.
class entry_platform {
public:
    virtual ~entry_platform() = default;

    /// The account in which the platform counts what its connections hold; nullptr when it counts
    /// nothing.
    [[nodiscard]] virtual std::shared_ptr<machines::resource_account> resources() {
        return nullptr;
    }

    /// Creates connections to backend servers. May be used with the executor of any thread.
    [[nodiscard]] virtual routing::server_connector& connector() = 0;

    [[nodiscard]] virtual std::unique_ptr<caller_listener>
    make_listener(boost::asio::any_io_executor executor, const endpoint& address) = 0;

    /// The result may be used only on the executor's thread.
    [[nodiscard]] virtual std::unique_ptr<fleet_store>
    make_store(boost::asio::any_io_executor executor) = 0;

    /// The result may be used only on the executor's thread.
    [[nodiscard]] virtual std::unique_ptr<promotion_authority>
    make_authority(boost::asio::any_io_executor executor) = 0;

    /// The result may be used only on the executor's thread.
    [[nodiscard]] virtual std::unique_ptr<usage::usage_authority>
    make_usage_authority(boost::asio::any_io_executor executor) = 0;
};

/// One instance of the proxy, which serves client sessions.
class entry_instance {
public:
    virtual ~entry_instance() = default;

    /// Serves sessions and blocks until SIGTERM or SIGINT. Throws links::listen_failed when it
    /// cannot listen on an address in the settings; nothing has been started then.
    virtual void run() = 0;
};

/// Precondition: the platform, the log and the metrics outlive the instance.
[[nodiscard]] std::unique_ptr<entry_instance> make_entry_instance(const entry_settings& settings,
                                                                  entry_platform& platform,
                                                                  decision_log& log,
                                                                  metric_registry& metrics);

} // namespace oriole::entry

#pragma once

#include "app/types/settings.h"

#include <memory>

namespace oriole::app {

/// One proxy process: a control thread, the traffic threads, and the servers that listen for
/// callers, peer instances and operators.
class entry_instance {
public:
    virtual ~entry_instance() = default;

    /// Runs the control thread on the calling thread until the instance has shut down. SIGTERM and
    /// SIGINT start a graceful shutdown that lets requests in progress finish. Throws
    /// boost::system::system_error when an address cannot be bound.
    virtual void run() = 0;
};

[[nodiscard]] std::unique_ptr<entry_instance> make_entry_instance(settings configured);

} // namespace oriole::app

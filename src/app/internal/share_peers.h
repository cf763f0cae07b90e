#pragma once

#include "base/types/name.h"
#include "contracts/types/share_messages.h"

namespace oriole::app {

/// Sends share requests and responses to other instances without waiting for delivery; messages
/// may be lost. Used on the control thread.
class share_peers {
public:
    virtual ~share_peers() = default;

    virtual void send(const instance_id& to, const contracts::share_request& ask) = 0;

    virtual void send(const instance_id& to, const contracts::share_response& give) = 0;
};

} // namespace oriole::app

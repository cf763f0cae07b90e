#pragma once

#include "base/types/name.h"
#include "scheduling/types/ejection_reason.h"

namespace oriole::scheduling {

/// A server was ejected or taken back.
struct health_change {
    server_name server;
    bool ejected = false;
    ejection_reason reason = ejection_reason::none; ///< of the ejection

    friend bool operator==(const health_change&, const health_change&) = default;
};

} // namespace oriole::scheduling

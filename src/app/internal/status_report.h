#pragma once

#include "app/internal/control_plane.h"

#include <string>

namespace oriole::app {

/// Returns the state of this instance as JSON, for operators. Call on the control thread.
[[nodiscard]] std::string make_status_report(const machines::instance& self,
                                             const control_plane& control, bool leaving);

} // namespace oriole::app

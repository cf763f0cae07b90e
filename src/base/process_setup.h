#pragma once

namespace oriole {

/// Prepares the process for running without a terminal: writes to a closed pipe or connection fail
/// with EPIPE instead of ending the process, and closed standard descriptors are opened on
/// /dev/null, so that no connection gets their numbers. Call it first in main(), before any thread
/// starts.
void prepare_process();

} // namespace oriole

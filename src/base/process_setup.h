#pragma once

namespace oriole {

/// Prepares the process for running without a terminal: writes to a closed pipe or connection fail
/// with EPIPE instead of ending the process, and closed standard descriptors are opened on
/// /dev/null, so that no connection gets their numbers. Large blocks of memory are returned to the
/// system when they are freed. Call it first in main(), before any thread
/// starts.
void prepare_process();

/// Returns the memory of small blocks that were freed to the system. It takes some milliseconds.
/// Thread-safe.
void return_free_memory();

/// Holds back SIGTERM, SIGINT and SIGHUP from the calling thread and from the threads that it
/// starts later. A signal that arrives meanwhile stays pending.
void hold_stop_signals();

/// While an object exists, the thread that constructed it gets the signals that
/// hold_stop_signals() holds back, the pending ones first. Precondition: their handlers are
/// installed.
class stop_signal_delivery {
public:
    stop_signal_delivery();
    ~stop_signal_delivery();

    stop_signal_delivery(const stop_signal_delivery&) = delete;
    stop_signal_delivery& operator=(const stop_signal_delivery&) = delete;
};

} // namespace oriole

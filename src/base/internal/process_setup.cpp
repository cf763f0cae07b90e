#include "base/process_setup.h"

#include <fcntl.h>
#include <malloc.h>
#include <pthread.h>
#include <unistd.h>

#include <csignal>

namespace oriole {
namespace {

constexpr int large_block_bytes = 128 << 10;

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

void open_standard_descriptors() {
    for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; ++descriptor) {
        if (::fcntl(descriptor, F_GETFD) == -1) {
            // open() returns the lowest free number, which is this one.
            ::open("/dev/null", O_RDWR);
        }
    }
}

} // namespace

void prepare_process() {
    std::signal(SIGPIPE, SIG_IGN);
    open_standard_descriptors();
    // Without a fixed value the C library raises the threshold to the largest block that was freed,
    // and keeps the later ones in its heap.
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

void return_free_memory() {
    ::malloc_trim(0);
}

void hold_stop_signals() {
    const auto signals = stop_signals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

stop_signal_delivery::stop_signal_delivery() {
    const auto signals = stop_signals();
    ::pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

stop_signal_delivery::~stop_signal_delivery() {
    hold_stop_signals();
}

} // namespace oriole

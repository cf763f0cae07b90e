#include "base/process_setup.h"

#include <fcntl.h>
#include <pthread.h>
#include <unistd.h>

#include <csignal>

namespace oriole {
namespace {

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

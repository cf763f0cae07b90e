#include "base/process_setup.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>

namespace oriole {
namespace {

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

} // namespace oriole

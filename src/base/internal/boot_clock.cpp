#include "base/clock.h"

#include <ctime>

namespace oriole {
namespace {

class boot_time_clock final : public clock {
public:
    time_point now() const override {
        timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::seconds(value.tv_sec) +
                          std::chrono::nanoseconds(value.tv_nsec));
    }
};

} // namespace

const clock& boot_clock() {
    static const boot_time_clock instance;
    return instance;
}

} // namespace oriole

#include "base/clock.h"

namespace oriole {
namespace {

class system_steady_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override {
        return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    }
};

} // namespace

const clock& steady_clock() {
    static const system_steady_clock instance;
    return instance;
}

} // namespace oriole

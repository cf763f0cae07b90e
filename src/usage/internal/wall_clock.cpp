#include "usage/wall_clock.h"

namespace oriole::usage {
namespace {

class machine_wall_clock final : public wall_clock {
public:
    [[nodiscard]] true_time now() const override {
        return std::chrono::time_point_cast<clock::duration>(std::chrono::system_clock::now());
    }
};

} // namespace

const wall_clock& system_wall_clock() {
    static const machine_wall_clock instance;
    return instance;
}

} // namespace oriole::usage

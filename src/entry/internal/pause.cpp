#include "entry/internal/pause.h"

#include "base/random_source.h"

namespace oriole::entry {

clock::duration random_part_of(clock::duration limit) {
    constexpr int steps = 1000;
    const auto step = static_cast<int>(make_random_source()->next() % steps);
    return limit * step / steps;
}

} // namespace oriole::entry

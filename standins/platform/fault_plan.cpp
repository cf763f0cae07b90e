#include "platform/fault_plan.h"

namespace oriole::standins {

void fault_plan::set(platform_faults faults) {
    m_faults = faults;
    m_engine.seed(faults.seed);
}

bool fault_plan::draw_with_probability(double share) {
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine) < share;
}

} // namespace oriole::standins

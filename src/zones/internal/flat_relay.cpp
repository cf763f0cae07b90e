#include "zones/relay_topology.h"

namespace oriole::zones {
namespace {

class flat_relay final : public relay_topology {
public:
    [[nodiscard]] std::vector<instance_id> targets(const relay_context& context) const override {
        std::vector<instance_id> chosen;
        if (context.self != context.origin) {
            return chosen;
        }
        for (const auto& member : context.members) {
            if (member != context.self && context.dead.count(member) == 0) {
                chosen.push_back(member);
            }
        }
        return chosen;
    }
};

} // namespace

std::unique_ptr<relay_topology> make_flat_relay() {
    return std::make_unique<flat_relay>();
}

} // namespace oriole::zones

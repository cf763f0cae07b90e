#include "zones/internal/rendezvous_hash.h"
#include "zones/watcher_assignment.h"

#include <algorithm>
#include <utility>

namespace oriole::zones {
namespace {

class rendezvous_watcher_assignment final : public watcher_assignment {
public:
    [[nodiscard]] std::vector<instance_id> assigned(const std::string& duty,
                                                    const std::vector<instance_id>& members,
                                                    std::size_t count) const override {
        std::vector<std::pair<std::uint64_t, instance_id>> ranked;
        ranked.reserve(members.size());
        for (const auto& member : members) {
            ranked.emplace_back(rendezvous_hash(duty, member.str()), member);
        }
        std::sort(ranked.begin(), ranked.end());
        std::vector<instance_id> chosen;
        for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) {
            chosen.push_back(std::move(ranked[i].second));
        }
        return chosen;
    }
};

} // namespace

std::unique_ptr<watcher_assignment> make_rendezvous_watcher_assignment() {
    return std::make_unique<rendezvous_watcher_assignment>();
}

std::string config_watch_duty(const zone_name& zone) {
    return "config-watch/" + zone.str();
}

} // namespace oriole::zones

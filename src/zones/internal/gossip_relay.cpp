#include "zones/internal/rendezvous_hash.h"
#include "zones/relay_topology.h"

#include <algorithm>
#include <utility>

namespace oriole::zones {
namespace {

class gossip_relay final : public relay_topology {
public:
    explicit gossip_relay(std::size_t fanout) : m_fanout(fanout) {}

    [[nodiscard]] std::vector<instance_id> targets(const relay_context& context) const override {
        const std::string key = std::to_string(context.generation) + "/" + context.self.str();
        std::vector<std::pair<std::uint64_t, instance_id>> ranked;
        for (const auto& member : context.members) {
            if (member != context.self && context.dead.count(member) == 0) {
                ranked.emplace_back(rendezvous_hash(key, member.str()), member);
            }
        }
        std::sort(ranked.begin(), ranked.end());
        std::vector<instance_id> chosen;
        for (std::size_t i = 0; i < std::min(m_fanout, ranked.size()); ++i) {
            chosen.push_back(std::move(ranked[i].second));
        }
        return chosen;
    }

private:
    std::size_t m_fanout;
};

} // namespace

std::unique_ptr<relay_topology> make_gossip_relay(std::size_t fanout) {
    return std::make_unique<gossip_relay>(fanout);
}

} // namespace oriole::zones

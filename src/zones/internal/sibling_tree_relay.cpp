#include "zones/internal/relay_order.h"
#include "zones/internal/sibling_tree.h"
#include "zones/relay_topology.h"

#include <algorithm>
#include <deque>

namespace oriole::zones {
namespace {

class sibling_tree_relay final : public relay_topology {
public:
    explicit sibling_tree_relay(std::size_t arity) : m_arity(arity) {}

    [[nodiscard]] std::vector<instance_id> targets(const relay_context& context) const override {
        const auto order = relay_order(context);
        const auto self = std::find(order.begin(), order.end(), context.self);
        std::vector<instance_id> chosen;
        if (self == order.end()) {
            return chosen;
        }
        const sibling_tree tree(m_arity, order.size());
        const auto own_children = tree.children(static_cast<std::size_t>(self - order.begin()));
        std::deque<std::size_t> pending(own_children.begin(), own_children.end());
        while (!pending.empty()) {
            const std::size_t node = pending.front();
            pending.pop_front();
            if (context.dead.count(order[node]) == 0) {
                chosen.push_back(order[node]);
                continue;
            }
            const auto replacements = tree.children(node);
            pending.insert(pending.end(), replacements.begin(), replacements.end());
        }
        return chosen;
    }

private:
    std::size_t m_arity;
};

} // namespace

std::unique_ptr<relay_topology> make_sibling_tree_relay(std::size_t arity) {
    return std::make_unique<sibling_tree_relay>(arity);
}

} // namespace oriole::zones

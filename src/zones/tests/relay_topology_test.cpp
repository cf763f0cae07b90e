#include "zones/relay_topology.h"

#include "zones/internal/relay_simulation.h"
#include "zones/internal/sibling_tree.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace oriole::zones {
namespace {

class relay_topology_test : public testing::Test {
protected:
    std::unique_ptr<relay_topology> m_flat = make_flat_relay();
    std::unique_ptr<relay_topology> m_gossip = make_gossip_relay(4);
    std::unique_ptr<relay_topology> m_tree = make_sibling_tree_relay(4);
};

relay_simulation_case any_case() {
    relay_simulation_case setting;
    setting.instances = *rc::gen::inRange<std::size_t>(2, 200);
    setting.dead_share = *rc::gen::inRange(0, 90) / 100.0;
    setting.seed = *rc::gen::arbitrary<std::uint64_t>();
    return setting;
}

// Guards against a subtree that never receives a generation because an inner node is dead, although
// the sender noticed that the node does not answer.
RC_GTEST_FIXTURE_PROP(relay_topology_test, dead_do_not_answer_all_live_are_reached, ()) {
    const auto setting = any_case();
    RC_ASSERT(simulate_relay(*m_tree, setting).reached_share == 1.0);
    RC_ASSERT(simulate_relay(*m_flat, setting).reached_share == 1.0);
}

// Guards against a tree relay that sends several messages to the same instance, whose number would
// grow with the depth of the tree.
RC_GTEST_FIXTURE_PROP(relay_topology_test, tree_sends_one_message_per_instance_and_origin, ()) {
    const auto setting = any_case();
    const auto result = simulate_relay(*m_tree, setting);
    RC_ASSERT(result.messages <= setting.origins * (setting.instances - 1));
}

// Guards against an instance that relays to itself or to members that are known to be dead.
RC_GTEST_FIXTURE_PROP(relay_topology_test, targets_exclude_self_and_dead, ()) {
    relay_context context{{}, instance_id("i0"), instance_id("i3"), 7, {}};
    for (int i = 0; i < 9; ++i) {
        context.members.emplace_back("i" + std::to_string(i));
        if (i > 0 && i != 3 && *rc::gen::arbitrary<bool>()) {
            context.dead.insert(context.members.back());
        }
    }
    for (const auto* topology : {m_flat.get(), m_gossip.get(), m_tree.get()}) {
        for (const auto& target : topology->targets(context)) {
            RC_ASSERT(target != context.self);
            RC_ASSERT(context.dead.count(target) == 0U);
        }
    }
}

class sibling_tree_test : public testing::Test {};

// Guards against tree nodes that disagree on their parent, child or neighbour relations.
RC_GTEST_FIXTURE_PROP(sibling_tree_test, relations_are_mutual, ()) {
    const auto arity = *rc::gen::inRange<std::size_t>(1, 8);
    const auto size = *rc::gen::inRange<std::size_t>(1, 300);
    const sibling_tree tree(arity, size);
    for (std::size_t node = 0; node < size; ++node) {
        for (const auto child : tree.children(node)) {
            RC_ASSERT(tree.parent(child) == node);
        }
        RC_ASSERT(tree.left(tree.right(node)) == node);
        RC_ASSERT(tree.right(tree.left(node)) == node);
    }
}

} // namespace
} // namespace oriole::zones

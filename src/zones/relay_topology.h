#pragma once

#include "base/types/name.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace oriole::zones {

/// What an instance knows when it relays a new configuration generation to other members.
struct relay_context {
    /// All members in ascending order without duplicates, including `origin` and `self`.
    std::vector<instance_id> members;
    instance_id origin; ///< the store watcher that started this relay
    instance_id self;   ///< the instance that relays
    std::uint64_t generation = 0;
    std::set<instance_id> dead; ///< members that are known not to answer

    friend bool operator==(const relay_context&, const relay_context&) = default;
};

/// Decides to which members an instance relays a generation. The result depends on the context
/// only, so instances need no coordination. An instance that gets no answer from a target adds it
/// to `dead` and asks for targets again; the new targets include the members that the dead one
/// would have served. Thread-safe.
class relay_topology {
public:
    virtual ~relay_topology() = default;

    /// The members to send the generation to; never `self` or a dead member.
    [[nodiscard]] virtual std::vector<instance_id> targets(const relay_context& context) const = 0;
};

/// The origin sends the generation to every member itself.
[[nodiscard]] std::unique_ptr<relay_topology> make_flat_relay();

/// Each instance sends the generation to `fanout` members, chosen by a hash of the generation, its
/// own name and the member's name.
[[nodiscard]] std::unique_ptr<relay_topology> make_gossip_relay(std::size_t fanout);

/// The k-ary sibling tree of Angskun, Fagg, Bosilca, Pjesivac-Grbovic and Dongarra ("Scalable Fault
/// Tolerant Protocol for Parallel Runtime Environments"): a tree of `arity` children per node whose
/// levels are rings. An instance sends the generation to its children, and in place of a dead child
/// to the children of that child. The origin is the root. Precondition: `arity` is at least 1.
[[nodiscard]] std::unique_ptr<relay_topology> make_sibling_tree_relay(std::size_t arity);

} // namespace oriole::zones

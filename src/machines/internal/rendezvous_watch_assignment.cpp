#include "machines/internal/rendezvous_watch_assignment.h"

#include "machines/rendezvous.h"

#include <algorithm>
#include <map>

namespace oriole::machines {
namespace {

/// Two, so that each zone still has a watcher of the database when one instance fails.
constexpr std::size_t watchers_per_zone = 2;

} // namespace

std::vector<instance_id>
rendezvous_watch_assignment::watchers(const database_name& database,
                                      const std::vector<instance>& instances) const {
    std::vector<instance> live;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(live),
                 [](const instance& i) { return i.state() == instance_state::live; });
    rank_by_rendezvous(live, database.str());
    std::map<zone_name, std::size_t> chosen_per_zone;
    std::vector<instance_id> chosen;
    for (const auto& candidate : live) {
        if (chosen_per_zone[candidate.zone()]++ < watchers_per_zone) {
            chosen.push_back(candidate.id());
        }
    }
    return chosen;
}

std::optional<std::size_t> rendezvous_watch_assignment::rank(const database_name& database,
                                                             const std::vector<instance>& instances,
                                                             const instance_id& self) const {
    const auto all = watchers(database, instances);
    const auto found = std::find(all.begin(), all.end(), self);
    if (found == all.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - all.begin());
}

std::unique_ptr<watch_assignment> make_watch_assignment() {
    return std::make_unique<rendezvous_watch_assignment>();
}

} // namespace oriole::machines

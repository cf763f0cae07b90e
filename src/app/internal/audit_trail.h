#pragma once

#include "base/types/name.h"
#include "contracts/types/audit_entry.h"
#include "machines/types/database_digest.h"
#include "machines/types/promotion_timeline.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriole::app {

/// Input of audit_trail: the databases that this instance watches and the promotions it has made.
struct audit_observation {
    std::vector<machines::database_digest> digests;
    std::vector<machines::promotion_timeline> timelines; ///< for each database, newest last
    std::uint64_t generation = 0;
    std::chrono::system_clock::time_point when;
};

/// Creates audit entries for the changes of primary by this instance that ended since the last
/// observation: promotions, successful or failed, and planned switchovers that were abandoned
/// before a promotion. Not thread-safe.
class audit_trail {
public:
    explicit audit_trail(instance_id self) : m_self(std::move(self)) {}

    [[nodiscard]] std::vector<contracts::audit_entry> observe(const audit_observation& observation);

private:
    using change_id = std::pair<database_name, std::uint64_t>; ///< database and term

    [[nodiscard]] contracts::audit_entry make_entry(const database_name& database,
                                                    const audit_observation& observation,
                                                    std::string to, std::string reason) const;
    void add_promotions(const audit_observation& observation,
                        std::vector<contracts::audit_entry>& found);
    void add_abandoned_switchovers(const audit_observation& observation,
                                   std::vector<contracts::audit_entry>& found);

    instance_id m_self;
    std::set<change_id> m_recorded;
    std::set<database_name> m_promoting; ///< databases with a promotion in progress
    std::set<database_name> m_promoted;  ///< databases whose promotion ended in this observation
    /// Databases whose writes this instance holds back for a planned switchover.
    std::set<database_name> m_switchovers;
    std::map<database_name, std::string> m_primaries; ///< last known primary and its term, as text
};

} // namespace oriole::app

#include "zones/internal/relay_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <string>

namespace oriole::zones {
namespace {

/// The first arrival of the generation at an instance, in the relay that one origin started.
struct arrival {
    instance_id at;
    instance_id origin;
    std::size_t hops = 0;     ///< hops from the origin
    std::size_t timeouts = 0; ///< timeouts that senders on the path waited for
};

class relay_run {
public:
    relay_run(const relay_topology& topology, const relay_simulation_case& setting)
        : m_topology(topology), m_setting(setting) {
        for (std::size_t i = 0; i < setting.instances; ++i) {
            const std::string number = std::to_string(i);
            m_members.emplace_back("i" + std::string(4 - number.size(), '0') + number);
        }
        choose_dead();
    }

    relay_simulation_result run() {
        for (std::size_t i = 0; i < m_setting.origins; ++i) {
            deliver({m_members[i], m_members[i], 0, 0});
        }
        while (!m_pending.empty()) {
            const arrival next = m_pending.front();
            m_pending.pop_front();
            relay_from(next);
        }
        return result();
    }

private:
    /// Chooses the dead members at random. The first members are the origins and stay live.
    void choose_dead() {
        std::vector<instance_id> others(
            m_members.begin() + static_cast<std::ptrdiff_t>(m_setting.origins), m_members.end());
        std::mt19937_64 engine(m_setting.seed);
        std::shuffle(others.begin(), others.end(), engine);
        const double count =
            std::ceil(m_setting.dead_share * static_cast<double>(m_setting.instances));
        others.resize(std::min(others.size(), static_cast<std::size_t>(count)));
        m_dead.insert(others.begin(), others.end());
    }

    void deliver(const arrival& message) {
        if (!m_received[message.origin].insert(message.at).second) {
            return;
        }
        if (m_dead.count(message.at) > 0) {
            return;
        }
        m_first_arrivals.emplace(message.at, message);
        m_pending.push_back(message);
    }

    void relay_from(const arrival& from) {
        relay_context context{m_members, from.origin, from.at, m_setting.seed, {}};
        std::set<instance_id> contacted;
        std::size_t timeouts = from.timeouts;
        bool has_new_targets = true;
        // Each round costs one timeout, since messages to several dead members time out together.
        while (has_new_targets) {
            has_new_targets = false;
            for (const auto& target : m_topology.targets(context)) {
                if (!contacted.insert(target).second) {
                    continue;
                }
                ++m_sent[from.at];
                if (m_dead.count(target) > 0 && !m_setting.dead_accept) {
                    ++m_unanswered;
                    context.dead.insert(target);
                    has_new_targets = true;
                } else {
                    deliver({target, from.origin, from.hops + 1, timeouts});
                }
            }
            ++timeouts;
        }
    }

    relay_simulation_result result() const {
        relay_simulation_result totals;
        for (const auto& [sender, count] : m_sent) {
            totals.messages += count;
            totals.most_sent_by_one = std::max(totals.most_sent_by_one, count);
        }
        totals.bytes = (2 * totals.messages - m_unanswered) * relay_message_bytes;
        for (const auto& [member, message] : m_first_arrivals) {
            totals.hops = std::max(totals.hops, message.hops);
            totals.timeouts_in_path = std::max(totals.timeouts_in_path, message.timeouts);
        }
        totals.reached_share = static_cast<double>(m_first_arrivals.size()) /
                               static_cast<double>(m_members.size() - m_dead.size());
        return totals;
    }

    const relay_topology& m_topology;
    relay_simulation_case m_setting;
    std::vector<instance_id> m_members;
    std::set<instance_id> m_dead;
    /// Instances that received the generation, by the origin of the relay.
    std::map<instance_id, std::set<instance_id>> m_received;
    std::map<instance_id, arrival> m_first_arrivals; ///< first arrival at each live instance
    std::map<instance_id, std::size_t> m_sent;
    std::size_t m_unanswered = 0;
    std::deque<arrival> m_pending;
};

} // namespace

relay_simulation_result simulate_relay(const relay_topology& topology,
                                       const relay_simulation_case& setting) {
    return relay_run(topology, setting).run();
}

} // namespace oriole::zones

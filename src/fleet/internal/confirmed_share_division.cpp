#include "fleet/share_division.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace oriole::fleet {
namespace {

/// Every instance counts with this part of an even division besides its demand, so that an account
/// that is new to it is not refused, and an idle fleet divides evenly.
constexpr double even_part = 0.25;
/// Operations that an instance may run at once beyond its part of the burst; less than one would
/// never let an operation pass. All instances together have at most `spare_burst`, which the
/// tolerance on rates covers.
constexpr double largest_spare = 1.5;
constexpr double spare_burst = 12;

using weights = std::map<account_name, double>;

double weight_in(const weights& values, const account_name& name) {
    const auto found = values.find(name);
    return found == values.end() ? 0 : found->second;
}

class confirmed_share_division final : public share_division {
public:
    explicit confirmed_share_division(listed_instance own) : m_own(std::move(own)) {}

    void set_peers(const std::vector<listed_instance>& peers) override {
        std::map<instance_id, peer_state> next;
        for (const auto& peer : peers) {
            const auto known = m_peers.find(peer.id);
            if (known != m_peers.end() && known->second.incarnation == peer.incarnation) {
                next[peer.id] = known->second;
            } else {
                next[peer.id].incarnation = peer.incarnation;
            }
        }
        m_peers = std::move(next);
    }

    void set_demand(const weights& demand) override { m_demand = demand; }

    demand_report report_for(const instance_id& peer) override {
        const auto found = m_peers.find(peer);
        ++m_number;
        const weights reported = usable_demand();
        if (found != m_peers.end()) {
            found->second.unconfirmed.emplace_back(m_number, reported);
            if (found->second.unconfirmed.size() > max_unconfirmed) {
                merge_oldest(found->second);
            }
        }
        return demand_report{m_own.id, m_own.incarnation, m_number, reported};
    }

    void confirm(const instance_id& peer, std::uint64_t number) override {
        const auto found = m_peers.find(peer);
        if (found == m_peers.end()) {
            return;
        }
        auto& unconfirmed = found->second.unconfirmed;
        while (!unconfirmed.empty() && unconfirmed.front().first <= number) {
            found->second.confirmed = std::move(unconfirmed.front().second);
            unconfirmed.erase(unconfirmed.begin());
        }
    }

    bool take(const demand_report& report) override {
        const auto found = m_peers.find(report.from);
        if (found == m_peers.end() || found->second.incarnation != report.incarnation) {
            return false;
        }
        if (found->second.number < report.number) {
            found->second.number = report.number;
            found->second.reported = report.demand;
        }
        return true;
    }

    account_share share_of(const account& limits) const override {
        const double instances = static_cast<double>(m_peers.size()) + 1;
        const double even = even_part * limits.operations_per_s / instances;
        const double fraction = part_of(limits.name, even);
        const double spare = std::min(largest_spare, spare_burst / instances);
        return account_share{fraction * limits.operations_per_s,
                             std::max(fraction * limits.burst + spare, 1.0)};
    }

private:
    static constexpr std::size_t max_unconfirmed = 8;
    /// Reports without confirmation after which an instance counts as out of reach.
    static constexpr std::size_t unanswered_reports = 2;

    struct peer_state {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;         ///< of the last report taken from the peer
        std::optional<weights> reported;  ///< by the peer
        std::optional<weights> confirmed; ///< what the peer holds of this instance at least
        std::vector<std::pair<std::uint64_t, weights>> unconfirmed;
    };

    /// Keeps the smaller of the two oldest reports, since either may be what the peer holds.
    static void merge_oldest(peer_state& peer) {
        auto& oldest = peer.unconfirmed[0].second;
        auto& next = peer.unconfirmed[1].second;
        for (auto& [name, weight] : next) {
            weight = std::min(weight, weight_in(oldest, name));
        }
        peer.unconfirmed.erase(peer.unconfirmed.begin());
    }

    /// The demand, as far as instances that no longer answer have confirmed it. More could not be
    /// used and would only lower the others' parts.
    [[nodiscard]] weights usable_demand() const {
        weights usable = m_demand;
        for (const auto& [id, peer] : m_peers) {
            if (peer.unconfirmed.size() < unanswered_reports) {
                continue;
            }
            for (auto& [name, weight] : usable) {
                weight = std::min(weight, peer.confirmed ? weight_in(*peer.confirmed, name) : 0);
            }
        }
        return usable;
    }

    /// The smallest weight of this instance that any peer may count with.
    [[nodiscard]] double safe_weight(const account_name& name) const {
        double weight = weight_in(m_demand, name);
        for (const auto& [id, peer] : m_peers) {
            // To an instance that has confirmed nothing this one has no demand.
            weight = std::min(weight, peer.confirmed ? weight_in(*peer.confirmed, name) : 0);
            for (const auto& [number, sent] : peer.unconfirmed) {
                weight = std::min(weight, weight_in(sent, name));
            }
        }
        return weight;
    }

    /// Precondition: `even` is the same at all instances that see the same instances.
    [[nodiscard]] double part_of(const account_name& name, double even) const {
        const double own = safe_weight(name) + even;
        double total = own;
        for (const auto& [id, peer] : m_peers) {
            total += even;
            if (peer.reported) {
                total += weight_in(*peer.reported, name);
            }
        }
        return total > 0 ? own / total : 0;
    }

    listed_instance m_own;
    std::map<instance_id, peer_state> m_peers;
    weights m_demand;
    std::uint64_t m_number = 0;
};

} // namespace

std::unique_ptr<share_division> make_share_division(const listed_instance& own) {
    return std::make_unique<confirmed_share_division>(own);
}

} // namespace oriole::fleet

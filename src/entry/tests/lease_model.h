#pragma once

#include "entry/internal/primary_leases.h"
#include "fleet/lease_revocation.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace oriole::entry {

/// Faults that can be planted in the model, to show that its check finds them.
enum class planted_fault {
    none,
    no_wait,             ///< promotions do not wait for the leases of silent gateways
    no_majority,         ///< promotions do not need a majority of the zones
    no_renewal,          ///< leases never expire
    confirms_at_once,    ///< a gateway confirms orders without having read the store
    order_not_announced, ///< only the promoting gateway learns the order
};

/// Gateways in several zones that hold leases on the primary of one service and promote servers,
/// while zones and single gateways are cut off, frozen and restarted. Driven by random numbers.
class lease_model {
public:
    lease_model(std::uint64_t seed, std::size_t zones, planted_fault fault);

    /// Lets a short time pass, with the messages and the events that are due.
    void step();

    /// Ends all cuts and freezes. No new ones begin.
    void heal();

    /// Describes a lease that covers a server after another one took over; empty when there is
    /// none.
    [[nodiscard]] std::string violation() const;

    /// Whether every gateway may use the present primary.
    [[nodiscard]] bool all_may_use_primary() const;

    /// Whether the last order was not carried out, because the gateway that wrote it was restarted
    /// or learned of it only later. Another instance has to repeat it.
    [[nodiscard]] bool order_unfinished() const noexcept {
        return m_stored.fence != m_leading.fence;
    }

    [[nodiscard]] int promotions() const noexcept { return m_promotions; }

private:
    struct promotion_attempt {
        fleet::promotion_order order;
        fleet::lease_revocation revocation;
        clock::time_point announced_at{};
        bool waited = false;
        std::set<zone_name> answered_after_wait;
    };

    struct gateway {
        instance_id id;
        zone_name zone;
        std::unique_ptr<primary_leases> leases;
        fleet::primary_grant grant;
        bool cut = false;
        clock::time_point frozen_until{};
        std::size_t next_poll = 0;
        clock::time_point poll_at{};
        std::optional<promotion_attempt> attempt;
        clock::time_point reads_store_at{};
    };

    struct message {
        std::size_t from = 0;
        std::size_t to = 0;
        clock::time_point due{};
        clock::time_point asked{}; ///< when the question was sent
        bool answer = false;
        peer_report report;
    };

    struct takeover {
        fleet::promotion_order order;
        clock::time_point at{};
    };

    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] clock::duration random_time(clock::duration least, clock::duration most);
    [[nodiscard]] bool connected(const gateway& left, const gateway& right) const;
    [[nodiscard]] peer_report report_of(const gateway& sender) const;
    void restart(gateway& which);
    void inject_faults();
    void ask(std::size_t from, std::size_t to);
    void deliver(const message& received);
    void merge(gateway& receiver, const peer_report& report);
    void run(std::size_t index);
    void start_promotion(gateway& promoter);
    void advance_promotion(std::size_t index);
    void send_promotion(gateway& promoter);

    std::mt19937_64 m_random;
    std::size_t m_zones;
    planted_fault m_fault;
    bool m_healed = false;
    clock::time_point m_now{std::chrono::hours(1)};
    std::vector<gateway> m_gateways;
    fleet::role_assignment m_roles;
    std::deque<message> m_messages;
    std::optional<std::size_t> m_cut_zone;
    std::set<std::pair<zone_name, zone_name>> m_cut_zone_pairs; ///< pairs in ascending order
    fleet::promotion_order m_stored;                            ///< the order in the store
    fleet::promotion_order m_leading;  ///< the order whose promotion took effect last
    std::optional<takeover> m_pending; ///< a promotion that was sent
    int m_promotions = 0;
};

} // namespace oriole::entry

#pragma once

#include "base/types/name.h"
#include "contracts/types/share.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace oriole::contracts {

using account_parts = std::map<account_name, share_parts>;

/// An instance's entry in the share ledger. Immutable.
class share_holder {
public:
    share_holder() = default;

    share_holder(std::uint64_t sequence, std::optional<std::uint32_t> slot, account_parts loans)
        : m_sequence(sequence), m_slot(slot), m_loans(std::move(loans)) {}

    /// Sequence number of the instance's last recorded renewal. The instance counts its leases from
    /// the time it sent that renewal.
    [[nodiscard]] std::uint64_t sequence() const noexcept { return m_sequence; }

    /// The slot whose floor the instance holds; none when the zone has no free slot.
    [[nodiscard]] std::optional<std::uint32_t> slot() const noexcept { return m_slot; }

    [[nodiscard]] const account_parts& loans() const noexcept { return m_loans; }

    friend auto operator<=>(const share_holder&, const share_holder&) = default;

private:
    std::uint64_t m_sequence = 0;
    std::optional<std::uint32_t> m_slot;
    account_parts m_loans;
};

/// A transfer of loan parts from one zone's ledger to another's. Immutable.
class loan_transfer {
public:
    loan_transfer(std::uint64_t sequence, account_name account, share_parts parts)
        : m_sequence(sequence), m_account(std::move(account)), m_parts(parts) {}

    /// Numbered from 1 for each pair of zones. The receiving ledger records the number of the last
    /// transfer it has added.
    [[nodiscard]] std::uint64_t sequence() const noexcept { return m_sequence; }

    [[nodiscard]] const account_name& account() const noexcept { return m_account; }

    [[nodiscard]] share_parts parts() const noexcept { return m_parts; }

    friend auto operator<=>(const loan_transfer&, const loan_transfer&) = default;

private:
    std::uint64_t m_sequence;
    account_name m_account;
    share_parts m_parts;
};

/// Records which instance holds which part of the rates in one zone. Stored in the platform and
/// replaced only by conditional writes. Immutable.
class share_ledger {
public:
    class builder;

    /// Creates a ledger without holders. The zone owns `slots` of the fleet's `fleet_slots` and
    /// `initial_loan` parts of each account's loan half. Preconditions over the ledgers of all
    /// zones: `fleet_slots` is positive, the slots add up to at most `fleet_slots`, and the initial
    /// loans to at most `loan_half`.
    share_ledger(std::uint32_t slots, std::uint32_t fleet_slots, share_parts initial_loan)
        : m_slots(slots), m_fleet_slots(fleet_slots), m_initial_loan(initial_loan) {}

    [[nodiscard]] std::uint32_t slots() const noexcept { return m_slots; }

    [[nodiscard]] std::uint32_t fleet_slots() const noexcept { return m_fleet_slots; }

    [[nodiscard]] share_parts initial_loan() const noexcept { return m_initial_loan; }

    /// Parts of each account's rate that a slot guarantees to its holder.
    [[nodiscard]] share_parts floor_parts() const noexcept { return floor_half / m_fleet_slots; }

    [[nodiscard]] const std::map<instance_id, share_holder>& holders() const noexcept {
        return m_holders;
    }

    /// Change of the zone's loan parts since `initial_loan`, by transfers from and to other zones.
    [[nodiscard]] const account_parts& loan_changes() const noexcept { return m_loan_changes; }

    /// The zone's loan parts of an account, including those that no instance holds.
    [[nodiscard]] share_parts loan_total(const account_name& account) const {
        const auto found = m_loan_changes.find(account);
        return m_initial_loan + (found == m_loan_changes.end() ? 0 : found->second);
    }

    /// Slots that no instance holds.
    [[nodiscard]] std::uint32_t free_slots() const noexcept {
        std::uint32_t free = m_slots;
        for (const auto& [id, holder] : m_holders) {
            free -= holder.slot() ? 1 : 0;
        }
        return free;
    }

    /// Total loan parts of an account that the zone's instances hold.
    [[nodiscard]] share_parts held_loans(const account_name& account) const {
        share_parts sum = 0;
        for (const auto& [id, holder] : m_holders) {
            const auto found = holder.loans().find(account);
            sum += found == holder.loans().end() ? 0 : found->second;
        }
        return sum;
    }

    /// Transfers that the receiving zone has not yet confirmed, by zone.
    [[nodiscard]] const std::map<zone_name, std::vector<loan_transfer>>& sent() const noexcept {
        return m_sent;
    }

    /// Sequence number of the last transfer sent to each zone.
    [[nodiscard]] const std::map<zone_name, std::uint64_t>& last_sent() const noexcept {
        return m_last_sent;
    }

    /// Sequence number of the last transfer received from each zone and added to this ledger.
    [[nodiscard]] const std::map<zone_name, std::uint64_t>& received() const noexcept {
        return m_received;
    }

    friend bool operator==(const share_ledger&, const share_ledger&) = default;

private:
    std::uint32_t m_slots;
    std::uint32_t m_fleet_slots;
    share_parts m_initial_loan;
    std::map<instance_id, share_holder> m_holders;
    account_parts m_loan_changes;
    std::map<zone_name, std::vector<loan_transfer>> m_sent;
    std::map<zone_name, std::uint64_t> m_last_sent;
    std::map<zone_name, std::uint64_t> m_received;
};

/// Builds a share_ledger from an existing one. Not thread-safe.
class share_ledger::builder {
public:
    explicit builder(share_ledger start) : m_value(std::move(start)) {}

    builder& holder(const instance_id& id, share_holder value) {
        m_value.m_holders.insert_or_assign(id, std::move(value));
        return *this;
    }

    builder& remove_holder(const instance_id& id) {
        m_value.m_holders.erase(id);
        return *this;
    }

    builder& loan_change(const account_name& account, share_parts value) {
        m_value.m_loan_changes.insert_or_assign(account, value);
        return *this;
    }

    builder& sent(const zone_name& to, std::vector<loan_transfer> waiting, std::uint64_t last) {
        m_value.m_last_sent.insert_or_assign(to, last);
        if (waiting.empty()) {
            m_value.m_sent.erase(to);
        } else {
            m_value.m_sent.insert_or_assign(to, std::move(waiting));
        }
        return *this;
    }

    builder& received(const zone_name& from, std::uint64_t sequence) {
        m_value.m_received.insert_or_assign(from, sequence);
        return *this;
    }

    /// The ledger with the changes made so far.
    [[nodiscard]] const share_ledger& view() const noexcept { return m_value; }

    [[nodiscard]] share_ledger build() const { return m_value; }

private:
    share_ledger m_value;
};

} // namespace oriole::contracts

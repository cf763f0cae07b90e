#pragma once

#include "base/types/name.h"
#include "contracts/types/service.h"

#include <compare>
#include <cstdint>
#include <map>
#include <utility>

namespace oriole::contracts {

/// Key by which requests are counted in usage records. Immutable.
class usage_key {
public:
    usage_key(account_name account, service_name service, access_mode kind)
        : m_account(std::move(account)), m_service(std::move(service)), m_kind(kind) {}

    /// The client account; empty for anonymous requests.
    [[nodiscard]] const account_name& account() const noexcept { return m_account; }

    /// The service; empty for the row that counts several services together because the table is
    /// full.
    [[nodiscard]] const service_name& service() const noexcept { return m_service; }

    [[nodiscard]] access_mode kind() const noexcept { return m_kind; }

    friend auto operator<=>(const usage_key&, const usage_key&) = default;

private:
    account_name m_account;
    service_name m_service;
    access_mode m_kind;
};

/// Number of requests and their total weight. Immutable.
class usage_amount {
public:
    usage_amount() = default;

    usage_amount(std::uint64_t requests, double weight) : m_requests(requests), m_weight(weight) {}

    [[nodiscard]] std::uint64_t requests() const noexcept { return m_requests; }

    [[nodiscard]] double weight() const noexcept { return m_weight; }

    friend usage_amount operator+(const usage_amount& left, const usage_amount& right) {
        return {left.m_requests + right.m_requests, left.m_weight + right.m_weight};
    }

    friend auto operator<=>(const usage_amount&, const usage_amount&) = default;

private:
    std::uint64_t m_requests = 0;
    double m_weight = 0;
};

using usage_table = std::map<usage_key, usage_amount>;

/// All requests that one instance has served since it started. It replaces the instance's earlier
/// record, so writing it twice, or late, never counts a request twice: the conditional write
/// rejects older records. Immutable.
class usage_record {
public:
    usage_record(instance_id instance, std::uint64_t sequence, usage_table totals)
        : m_instance(std::move(instance)), m_sequence(sequence), m_totals(std::move(totals)) {}

    [[nodiscard]] const instance_id& instance() const noexcept { return m_instance; }

    /// Increases with each record of the instance.
    [[nodiscard]] std::uint64_t sequence() const noexcept { return m_sequence; }

    [[nodiscard]] const usage_table& totals() const noexcept { return m_totals; }

    friend auto operator<=>(const usage_record&, const usage_record&) = default;

private:
    instance_id m_instance;
    std::uint64_t m_sequence;
    usage_table m_totals;
};

} // namespace oriole::contracts

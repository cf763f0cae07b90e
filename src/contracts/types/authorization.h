#pragma once

#include "base/types/name.h"

#include <compare>
#include <optional>
#include <string_view>
#include <utility>

namespace oriole::contracts {

/// Reason why a request's access key is rejected.
enum class authorization_refusal {
    no_key,             ///< the service requires a key and the request has none
    unknown_key,        ///< no client account has this key
    withdrawn_key,      ///< the key was withdrawn
    unknown_service,    ///< the key is valid, but the service does not exist
    service_not_granted ///< the key is valid, but may not use this service
};

[[nodiscard]] constexpr std::string_view to_string(authorization_refusal value) noexcept {
    switch (value) {
    case authorization_refusal::no_key:
        return "no key was presented";
    case authorization_refusal::unknown_key:
        return "the key is unknown";
    case authorization_refusal::withdrawn_key:
        return "the key was withdrawn";
    case authorization_refusal::unknown_service:
        return "the service does not exist";
    case authorization_refusal::service_not_granted:
        return "the key is not granted to this service";
    }
    return "refused";
}

/// Result of checking a caller's access key: the client account that the request runs for, or the
/// reason for its refusal. Immutable.
class authorization {
public:
    /// The request runs for `account`, authenticated by `key`.
    authorization(account_name account, key_name key)
        : m_account(std::move(account)), m_key(std::move(key)) {}

    explicit authorization(authorization_refusal refusal) : m_refusal(refusal) {}

    /// The request runs without a key, on a service that is open to all.
    [[nodiscard]] static authorization anonymous() { return {account_name{}, key_name{}}; }

    [[nodiscard]] bool granted() const noexcept { return !m_refusal.has_value(); }

    /// Whether the request runs without a client account.
    [[nodiscard]] bool is_anonymous() const noexcept { return granted() && m_account.empty(); }

    /// The client account; empty when anonymous or refused.
    [[nodiscard]] const account_name& account() const noexcept { return m_account; }

    /// Name of the presented key, with which its open transactions are found when the key is
    /// withdrawn; empty when anonymous or refused.
    [[nodiscard]] const key_name& key() const noexcept { return m_key; }

    [[nodiscard]] std::optional<authorization_refusal> refusal() const noexcept {
        return m_refusal;
    }

    friend auto operator<=>(const authorization&, const authorization&) = default;

private:
    account_name m_account;
    key_name m_key;
    std::optional<authorization_refusal> m_refusal;
};

} // namespace oriole::contracts

#pragma once

#include "base/types/name.h"
#include "contracts/types/key_digest.h"

#include <compare>
#include <utility>
#include <vector>

namespace oriole::contracts {

enum class key_state { granted, withdrawn };

/// A key that authenticates callers as a client account. Immutable.
class access_key {
public:
    class builder;

    [[nodiscard]] const key_name& name() const noexcept { return m_name; }

    [[nodiscard]] const account_name& account() const noexcept { return m_account; }

    [[nodiscard]] const key_digest& digest() const noexcept { return m_digest; }

    [[nodiscard]] key_state state() const noexcept { return m_state; }

    /// Services that the key may use; empty means all services.
    [[nodiscard]] const std::vector<service_name>& services() const noexcept { return m_services; }

    friend auto operator<=>(const access_key&, const access_key&) = default;

private:
    access_key() = default;

    key_name m_name;
    account_name m_account;
    key_digest m_digest{};
    key_state m_state = key_state::granted;
    std::vector<service_name> m_services;
};

/// Builds an access_key. Not thread-safe.
class access_key::builder {
public:
    builder& name(key_name value) {
        m_value.m_name = std::move(value);
        return *this;
    }

    builder& account(account_name value) {
        m_value.m_account = std::move(value);
        return *this;
    }

    builder& digest(const key_digest& value) {
        m_value.m_digest = value;
        return *this;
    }

    builder& state(key_state value) {
        m_value.m_state = value;
        return *this;
    }

    builder& services(std::vector<service_name> value) {
        m_value.m_services = std::move(value);
        return *this;
    }

    /// Precondition: name, account and digest have been set.
    [[nodiscard]] access_key build() const { return m_value; }

private:
    access_key m_value;
};

} // namespace oriole::contracts

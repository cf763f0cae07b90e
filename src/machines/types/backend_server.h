#pragma once

#include "base/types/endpoint.h"
#include "base/types/name.h"
#include "base/types/service_state.h"

#include <compare>
#include <utility>

namespace oriole::machines {

/// A backend server as configured by operators. Immutable.
class backend_server {
public:
    class builder;

    [[nodiscard]] const server_name& name() const noexcept { return m_name; }

    [[nodiscard]] const zone_name& zone() const noexcept { return m_zone; }

    /// Receives statements. The number of connections to it is limited.
    [[nodiscard]] const endpoint& statement_endpoint() const noexcept { return m_statement; }

    /// Receives probes, fencing, promotion and confirmation requests. The number of connections to
    /// it is not limited.
    [[nodiscard]] const endpoint& control_endpoint() const noexcept { return m_control; }

    [[nodiscard]] service_state state() const noexcept { return m_state; }

    friend auto operator<=>(const backend_server&, const backend_server&) = default;

private:
    backend_server() = default;

    server_name m_name;
    zone_name m_zone;
    endpoint m_statement;
    endpoint m_control;
    service_state m_state = service_state::in;
};

/// Builds a backend_server. Not thread-safe.
class backend_server::builder {
public:
    builder& name(server_name value) {
        m_value.m_name = std::move(value);
        return *this;
    }

    builder& zone(zone_name value) {
        m_value.m_zone = std::move(value);
        return *this;
    }

    builder& statement_endpoint(endpoint value) {
        m_value.m_statement = std::move(value);
        return *this;
    }

    builder& control_endpoint(endpoint value) {
        m_value.m_control = std::move(value);
        return *this;
    }

    builder& state(service_state value) {
        m_value.m_state = value;
        return *this;
    }

    /// Precondition: name, zone and both endpoints have been set.
    [[nodiscard]] backend_server build() const { return m_value; }

private:
    backend_server m_value;
};

} // namespace oriole::machines

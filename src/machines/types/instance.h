#pragma once

#include "base/types/endpoint.h"
#include "base/types/name.h"

#include <compare>
#include <utility>

namespace oriole::machines {

enum class instance_state { live, leaving };

/// An entry instance: one process of the proxy. A restarted process is a new instance with a new
/// id. Immutable.
class instance {
public:
    class builder;

    [[nodiscard]] const instance_id& id() const noexcept { return m_id; }

    [[nodiscard]] const zone_name& zone() const noexcept { return m_zone; }

    [[nodiscard]] const endpoint& caller_endpoint() const noexcept { return m_caller; }

    [[nodiscard]] const endpoint& admin_endpoint() const noexcept { return m_admin; }

    [[nodiscard]] const endpoint& peer_endpoint() const noexcept { return m_peer; }

    [[nodiscard]] instance_state state() const noexcept { return m_state; }

    friend auto operator<=>(const instance&, const instance&) = default;

private:
    instance() = default;

    instance_id m_id;
    zone_name m_zone;
    endpoint m_caller;
    endpoint m_admin;
    endpoint m_peer;
    instance_state m_state = instance_state::live;
};

/// Builds an instance. Not thread-safe.
class instance::builder {
public:
    builder& id(instance_id value) {
        m_value.m_id = std::move(value);
        return *this;
    }

    builder& zone(zone_name value) {
        m_value.m_zone = std::move(value);
        return *this;
    }

    builder& caller_endpoint(endpoint value) {
        m_value.m_caller = std::move(value);
        return *this;
    }

    builder& admin_endpoint(endpoint value) {
        m_value.m_admin = std::move(value);
        return *this;
    }

    builder& peer_endpoint(endpoint value) {
        m_value.m_peer = std::move(value);
        return *this;
    }

    builder& state(instance_state value) {
        m_value.m_state = value;
        return *this;
    }

    /// Precondition: id, zone and the endpoints have been set.
    [[nodiscard]] instance build() const { return m_value; }

private:
    instance m_value;
};

} // namespace oriole::machines

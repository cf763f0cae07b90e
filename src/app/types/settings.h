#pragma once

#include "base/types/endpoint.h"
#include "base/types/name.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace oriole::app {

/// Settings of one entry instance, read from its settings file. Immutable.
class settings {
public:
    class builder;

    [[nodiscard]] const zone_name& zone() const noexcept { return m_zone; }

    /// Human-readable first part of the instance id; a random suffix is added at each start.
    [[nodiscard]] const std::string& instance_prefix() const noexcept { return m_instance_prefix; }

    [[nodiscard]] const endpoint& caller() const noexcept { return m_caller; }

    [[nodiscard]] const endpoint& admin() const noexcept { return m_admin; }

    [[nodiscard]] const endpoint& peer() const noexcept { return m_peer; }

    [[nodiscard]] const endpoint& platform() const noexcept { return m_platform; }

    /// Secret shared by all instances of the site, with which they authenticate to one another.
    [[nodiscard]] const std::string& peer_secret() const noexcept { return m_peer_secret; }

    /// Peer addresses of other instances, used to fetch the configuration while the platform is
    /// down.
    [[nodiscard]] const std::vector<endpoint>& peers() const noexcept { return m_peers; }

    [[nodiscard]] std::size_t traffic_threads() const noexcept { return m_traffic_threads; }

    [[nodiscard]] std::size_t max_connections() const noexcept { return m_max_connections; }

    /// Time during which a stopping instance reports "not ready" but still accepts connections, so
    /// that the load balancer can remove it first.
    [[nodiscard]] std::chrono::milliseconds drain_delay() const noexcept { return m_drain_delay; }

    /// Maximum time that a graceful shutdown waits for requests in progress.
    [[nodiscard]] std::chrono::milliseconds drain_limit() const noexcept { return m_drain_limit; }

    /// Maximum number of instances per zone, spares included. Only used when no share plan is
    /// stored yet, that is, on the first start of the fleet.
    [[nodiscard]] std::uint32_t share_slots() const noexcept { return m_share_slots; }

    friend auto operator<=>(const settings&, const settings&) = default;

private:
    static constexpr std::size_t default_traffic_threads = 2;
    static constexpr std::size_t default_max_connections = 4096;
    static constexpr std::chrono::milliseconds default_drain_delay{2000};
    static constexpr std::chrono::milliseconds default_drain_limit{30000};

    static constexpr std::uint32_t default_share_slots = 4;

    settings() = default;

    zone_name m_zone;
    std::string m_instance_prefix = "instance";
    endpoint m_caller;
    endpoint m_admin;
    endpoint m_peer;
    endpoint m_platform;
    std::string m_peer_secret;
    std::vector<endpoint> m_peers;
    std::size_t m_traffic_threads = default_traffic_threads;
    std::size_t m_max_connections = default_max_connections;
    std::chrono::milliseconds m_drain_delay = default_drain_delay;
    std::chrono::milliseconds m_drain_limit = default_drain_limit;
    std::uint32_t m_share_slots = default_share_slots;
};

/// Builds settings. Not thread-safe.
class settings::builder {
public:
    builder& zone(zone_name value) {
        m_value.m_zone = std::move(value);
        return *this;
    }

    builder& instance_prefix(std::string value) {
        m_value.m_instance_prefix = std::move(value);
        return *this;
    }

    builder& caller(endpoint value) {
        m_value.m_caller = std::move(value);
        return *this;
    }

    builder& admin(endpoint value) {
        m_value.m_admin = std::move(value);
        return *this;
    }

    builder& peer(endpoint value) {
        m_value.m_peer = std::move(value);
        return *this;
    }

    builder& platform(endpoint value) {
        m_value.m_platform = std::move(value);
        return *this;
    }

    builder& peer_secret(std::string value) {
        m_value.m_peer_secret = std::move(value);
        return *this;
    }

    builder& peers(std::vector<endpoint> value) {
        m_value.m_peers = std::move(value);
        return *this;
    }

    builder& traffic_threads(std::size_t value) {
        m_value.m_traffic_threads = value;
        return *this;
    }

    builder& max_connections(std::size_t value) {
        m_value.m_max_connections = value;
        return *this;
    }

    builder& drain_delay(std::chrono::milliseconds value) {
        m_value.m_drain_delay = value;
        return *this;
    }

    builder& drain_limit(std::chrono::milliseconds value) {
        m_value.m_drain_limit = value;
        return *this;
    }

    builder& share_slots(std::uint32_t value) {
        m_value.m_share_slots = value;
        return *this;
    }

    /// Precondition: zone, all endpoints and the peer secret have been set.
    [[nodiscard]] settings build() const { return m_value; }

private:
    settings m_value;
};

} // namespace oriole::app

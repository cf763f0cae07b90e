#pragma once

#include "contracts/types/access_key.h"
#include "contracts/types/client_account.h"
#include "contracts/types/rate.h"
#include "contracts/types/service.h"
#include "machines/types/backend_server.h"
#include "machines/types/database.h"
#include "zones/types/availability_zone.h"
#include "zones/types/region.h"

#include <map>
#include <utility>

namespace oriole::site {

/// All configuration objects, which are published together. Immutable; safe to read from any
/// thread. The objects may be inconsistent with one another; `site_checker` reports that.
class site_objects {
public:
    class builder;

    template <class Name, class Object>
    using map_of = std::map<Name, Object>;

    [[nodiscard]] const auto& regions() const noexcept { return m_regions; }

    [[nodiscard]] const auto& zones() const noexcept { return m_zones; }

    [[nodiscard]] const auto& servers() const noexcept { return m_servers; }

    [[nodiscard]] const auto& databases() const noexcept { return m_databases; }

    [[nodiscard]] const auto& rates() const noexcept { return m_rates; }

    [[nodiscard]] const auto& accounts() const noexcept { return m_accounts; }

    [[nodiscard]] const auto& keys() const noexcept { return m_keys; }

    [[nodiscard]] const auto& services() const noexcept { return m_services; }

    friend bool operator==(const site_objects&, const site_objects&) = default;

private:
    map_of<region_name, zones::region> m_regions;
    map_of<zone_name, zones::availability_zone> m_zones;
    map_of<server_name, machines::backend_server> m_servers;
    map_of<database_name, machines::database> m_databases;
    map_of<rate_name, contracts::rate> m_rates;
    map_of<account_name, contracts::client_account> m_accounts;
    map_of<key_name, contracts::access_key> m_keys;
    map_of<service_name, contracts::service> m_services;
};

/// Builder of site_objects. Adding an object replaces an earlier one of the same kind and name. Not
/// thread-safe.
class site_objects::builder {
public:
    builder() = default;

    /// Starts from a copy of existing objects.
    explicit builder(site_objects start) : m_value(std::move(start)) {}

    builder& add(zones::region object) { return put(m_value.m_regions, std::move(object)); }

    builder& add(zones::availability_zone object) {
        return put(m_value.m_zones, std::move(object));
    }

    builder& add(machines::backend_server object) {
        return put(m_value.m_servers, std::move(object));
    }

    builder& add(machines::database object) { return put(m_value.m_databases, std::move(object)); }

    builder& add(contracts::rate object) { return put(m_value.m_rates, std::move(object)); }

    builder& add(contracts::client_account object) {
        return put(m_value.m_accounts, std::move(object));
    }

    builder& add(contracts::access_key object) { return put(m_value.m_keys, std::move(object)); }

    builder& add(contracts::service object) { return put(m_value.m_services, std::move(object)); }

    [[nodiscard]] site_objects build() const { return m_value; }

private:
    template <class Map, class Object>
    builder& put(Map& map, Object object) {
        auto name = object.name();
        map.insert_or_assign(std::move(name), std::move(object));
        return *this;
    }

    site_objects m_value;
};

} // namespace oriole::site

#include "site/internal/database_checks.h"

#include <map>
#include <set>
#include <string>

namespace oriole::site {
namespace {

// With two servers, the failure of either one stops all writes, so a database needs at least three.
constexpr std::size_t min_servers = 3;

object_id id_of(const machines::database& database) {
    return {object_kind::database, database.name().str()};
}

class database_checker {
public:
    database_checker(const located_site& site, majority_loss_policy policy, check_report& report)
        : m_site(site), m_policy(policy), m_report(report) {}

    void check() {
        for (const auto& [name, database] : m_site.objects().databases()) {
            check_server_count(database);
            check_exclusive_servers(database);
            check_zones(database);
            check_majority(database);
        }
        for (const auto& [name, server] : m_site.objects().servers()) {
            check_endpoint(server, server.statement_endpoint(), "address");
            check_endpoint(server, server.control_endpoint(), "control");
        }
    }

private:
    void check_server_count(const machines::database& database) {
        const std::size_t count = database.servers().size();
        if (count < min_servers) {
            m_report.error(id_of(database), "servers",
                           "the database has " + std::to_string(count) +
                               " servers; list at least 3, so that a majority survives the loss "
                               "of one");
        } else if (count % 2 == 0) {
            m_report.error(id_of(database), "servers",
                           "the database has an even number of servers (" + std::to_string(count) +
                               "), which tolerates no more losses than " +
                               std::to_string(count - 1) + "; list an odd number");
        }
    }

    void check_exclusive_servers(const machines::database& database) {
        for (std::size_t i = 0; i < database.servers().size(); ++i) {
            const auto& server = database.servers()[i];
            const auto [owner, added] = m_owner_databases.emplace(server, database.name());
            if (!added && owner->second != database.name()) {
                m_report.error(id_of(database), "servers[" + std::to_string(i) + "]",
                               "the server '" + server.str() +
                                   "' already belongs to the database '" + owner->second.str() +
                                   "'; list it in one database only");
            }
        }
    }

    void check_zones(const machines::database& database) {
        std::set<zone_name> zones;
        for (const auto& name : database.servers()) {
            const auto server = m_site.objects().servers().find(name);
            if (server == m_site.objects().servers().end()) {
                return;
            }
            zones.insert(server->second.zone());
        }
        if (zones.size() == 1 && database.servers().size() >= min_servers) {
            m_report.warning(id_of(database), "servers",
                             "all servers are in the zone '" + zones.begin()->str() +
                                 "' and fail with it; use servers of at least 3 zones");
        }
    }

    void check_majority(const machines::database& database) {
        std::size_t in_service = 0;
        for (const auto& name : database.servers()) {
            const auto server = m_site.objects().servers().find(name);
            if (server == m_site.objects().servers().end()) {
                return;
            }
            in_service += is_in_service(server->second) ? 1 : 0;
        }
        const std::size_t needed = database.majority();
        if (in_service >= needed || database.servers().empty()) {
            return;
        }
        const bool refuse = m_policy == majority_loss_policy::refuse;
        m_report.add(refuse ? severity::error : severity::warning, id_of(database), "servers",
                     "zones and servers out of service leave " + std::to_string(in_service) +
                         " of " + std::to_string(database.servers().size()) +
                         " servers, fewer than the majority of " + std::to_string(needed) +
                         "; bring one back, or accept the loss of writes with --force");
    }

    [[nodiscard]] bool is_in_service(const machines::backend_server& server) const {
        const auto zone = m_site.objects().zones().find(server.zone());
        const bool zone_in_service =
            zone == m_site.objects().zones().end() || zone->second.state() == service_state::in;
        return zone_in_service && server.state() == service_state::in;
    }

    void check_endpoint(const machines::backend_server& server, const endpoint& address,
                        const std::string& field) {
        const std::string use = field + " of backend-server '" + server.name().str() + "'";
        const auto [owner, added] = m_endpoint_uses.emplace(address, use);
        if (!added) {
            m_report.error({object_kind::backend_server, server.name().str()}, field,
                           address.str() + " is already the " + owner->second +
                               "; every port of every server needs its own");
        }
    }

    const located_site& m_site;
    majority_loss_policy m_policy;
    check_report& m_report;
    std::map<server_name, database_name> m_owner_databases;
    std::map<endpoint, std::string> m_endpoint_uses;
};

} // namespace

void check_databases(const located_site& site, majority_loss_policy policy, check_report& report) {
    database_checker(site, policy, report).check();
}

} // namespace oriole::site

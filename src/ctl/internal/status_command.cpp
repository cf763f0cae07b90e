#include "ctl/internal/status_command.h"

#include "ctl/internal/instance_status.h"
#include "ctl/internal/platform_site.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>

namespace oriole::ctl {
namespace {

constexpr int id_width = 34; // an instance id has 32 digits
constexpr int zone_width = 20;
constexpr int admin_width = 24;

void write_row(std::ostream& out, const std::string& id, const std::string& zone,
               const std::string& admin, const std::string& state) {
    out << std::left << std::setw(id_width) << id << std::setw(zone_width) << zone
        << std::setw(admin_width) << admin << state << "\n";
}

nlohmann::json to_json(const instance_status& status) {
    return {{"id", status.id},
            {"zone", status.zone},
            {"admin", status.admin},
            {"answered", status.answered},
            {"generation", status.generation},
            {"status", nlohmann::json::parse(status.details.empty() ? "{}" : status.details)}};
}

void write_server(std::ostream& out, const nlohmann::json& server) {
    out << "  server " << server.value("name", "");
    if (!server.value("reported", false)) {
        out << " no report\n";
        return;
    }
    out << " role=" << server.value("role", "") << " term=" << server.value("term", 0)
        << " unapplied_entries=" << server.value("unapplied_entries", 0);
    if (server.contains("pool")) {
        const auto& pool = server.at("pool");
        out << " connections=" << pool.value("connections", 0) << "/" << pool.value("allotment", 0)
            << " queued=" << pool.value("queued", 0) << " in_flight=" << pool.value("in_flight", 0)
            << " circuit_open=" << pool.value("circuit_open", false);
    }
    out << "\n";
}

void write_last_change(std::ostream& out, const nlohmann::json& change) {
    out << "  last change of primary: term=" << change.value("term", 0) << " reason=\""
        << change.value("reason", "") << "\"";
    for (const auto& milestone : change.value("milestones", nlohmann::json::array())) {
        out << " " << milestone.value("state", "") << "=" << milestone.value("after_ms", 0) << "ms";
    }
    out << "\n";
}

/// Writes the databases as one instance reports them. Changes of primary that another instance
/// carried out appear only in that instance's status.
void write_databases(std::ostream& out, const instance_status& status) {
    const auto details = nlohmann::json::parse(status.details, nullptr, false);
    if (!details.is_object()) {
        return;
    }
    out << "databases as seen by " << status.id << ":\n";
    for (const auto& database : details.value("databases", nlohmann::json::array())) {
        const auto primary = database.find("primary");
        const bool known = primary != database.end() && primary->is_string();
        out << "database " << database.value("name", "") << " term=" << database.value("term", 0)
            << " primary=" << (known ? primary->get<std::string>() : "none") << "\n";
        for (const auto& server : database.value("servers", nlohmann::json::array())) {
            write_server(out, server);
        }
        if (database.contains("last_change")) {
            write_last_change(out, database.at("last_change"));
        }
    }
}

} // namespace

std::vector<option_schema> status_command::options() const {
    return {platform_option()};
}

exit_code status_command::run(const arguments& args, console& output) {
    platform_site platform(m_system, args);
    const auto found = read_instance_status(m_system.http(), platform.object_store());
    if (output.json()) {
        auto list = nlohmann::json::array();
        for (const auto& status : found) {
            list.push_back(to_json(status));
        }
        output.out << list.dump(2) << "\n";
        return exit_code::clean;
    }
    write_row(output.out, "INSTANCE", "ZONE", "ADMIN", "GENERATION");
    for (const auto& status : found) {
        write_row(output.out, status.id, status.zone, status.admin,
                  status.answered ? std::to_string(status.generation) : "no answer");
    }
    const auto answered = std::find_if(found.begin(), found.end(),
                                       [](const instance_status& each) { return each.answered; });
    if (answered != found.end()) {
        write_databases(output.out, *answered);
    }
    return exit_code::clean;
}

} // namespace oriole::ctl

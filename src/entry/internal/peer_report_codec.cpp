#include "entry/peer_report_codec.h"

#include "base/message_text.h"
#include "entry/internal/json_fields.h"

#include <nlohmann/json.hpp>

namespace oriole::entry {
namespace {

using nlohmann::json;

json encode_service(const peer_service_report& report) {
    json out{{"primary", report.primary.str()}};
    if (report.answer_age) {
        out["answered"] = encode_duration(*report.answer_age);
    }
    if (report.failing_for) {
        out["failing"] = encode_duration(*report.failing_for);
    }
    if (report.position) {
        out["proved"] = report.proven_server.str();
        out["position"] = encode_position(*report.position);
        out["age"] = encode_duration(report.proof_age);
    }
    if (report.order_fence != 0) {
        out["order"] = {report.order_fence, encode_duration(report.order_age)};
    }
    return out;
}

peer_service_report decode_service(const json& in) {
    peer_service_report report;
    report.primary = server_name(in.at("primary").get<std::string>());
    if (in.contains("answered")) {
        report.answer_age = decode_duration(in.at("answered"));
    }
    if (in.contains("failing")) {
        report.failing_for = decode_duration(in.at("failing"));
    }
    if (in.contains("position")) {
        report.proven_server = server_name(in.at("proved").get<std::string>());
        report.position = decode_position(in.at("position"));
        report.proof_age = decode_duration(in.at("age"));
    }
    if (in.contains("order")) {
        report.order_fence = in.at("order").at(0).get<std::uint64_t>();
        report.order_age = decode_duration(in.at("order").at(1));
    }
    return report;
}

json encode_server(const fleet::registered_server& server) {
    return {{"id", server.id.str()},
            {"service", server.service.str()},
            {"address", server.address.address()},
            {"port", server.address.port()},
            {"zone", server.zone.str()},
            {"draining", server.draining},
            {"primary", server.primary},
            {"born", server.start_time_ms},
            {"slots", server.slots},
            {"sequence", server.sequence},
            {"era", server.revision.era},
            {"revision", server.revision.number}};
}

fleet::registered_server decode_server(const json& in) {
    fleet::registered_server server;
    server.id = server_name(in.at("id").get<std::string>());
    server.service = service_name(in.at("service").get<std::string>());
    server.address =
        endpoint(in.at("address").get<std::string>(), in.at("port").get<std::uint16_t>());
    server.zone = zone_name(in.at("zone").get<std::string>());
    server.draining = in.at("draining").get<bool>();
    server.primary = in.at("primary").get<bool>();
    server.start_time_ms = in.at("born").get<std::int64_t>();
    // Instances of an earlier version send no slots.
    server.slots = in.value("slots", 0);
    server.sequence = in.value("sequence", std::uint64_t{0});
    server.revision = {in.value("era", std::uint64_t{0}), in.at("revision").get<std::uint64_t>()};
    return server;
}

json encode_configuration(const fleet::configuration& value) {
    json out{{"version", value.version}, {"idle", encode_duration(value.transaction_idle)}};
    out["routes"] = json::array();
    for (const auto& [database, route] : value.routes) {
        out["routes"].push_back(encode_route(route));
    }
    out["services"] = json::object();
    for (const auto& [name, limits] : value.services) {
        out["services"][name.str()] = {limits.max_connections, limits.synchronous_replicas};
    }
    out["accounts"] = json::array();
    for (const auto& account : value.accounts) {
        out["accounts"].push_back({{"name", account.name.str()},
                                   {"keys", account.keys},
                                   {"rate", account.operations_per_s},
                                   {"burst", account.burst}});
    }
    return out;
}

fleet::configuration decode_configuration(const json& in) {
    fleet::configuration value;
    value.version = in.at("version").get<std::int64_t>();
    value.transaction_idle = decode_duration(in.at("idle"));
    for (const auto& item : in.at("routes")) {
        auto route = decode_route(item);
        const auto database = route.database;
        value.routes[database] = std::move(route);
    }
    for (const auto& [name, limits] : in.at("services").items()) {
        value.services[service_name(name)] = {limits.at(0).get<int>(), limits.at(1).get<int>()};
    }
    for (const auto& item : in.at("accounts")) {
        value.accounts.push_back({account_name(item.at("name").get<std::string>()),
                                  item.at("keys").get<std::vector<std::string>>(),
                                  item.at("rate").get<double>(), item.at("burst").get<double>()});
    }
    fleet::remove_unusable_names(value);
    return value;
}

/// Wall clocks beyond this are not read: 292 years do not fit into nanoseconds.
constexpr std::int64_t max_wall_us = std::int64_t{9'000'000'000} * 1'000'000;

json encode_wall_time(usage::true_time time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

usage::true_time decode_wall_time(const json& in) {
    const auto value = in.get<std::int64_t>();
    if (value < 0 || value > max_wall_us) {
        throw report_unreadable("wall clock out of range in a report");
    }
    return usage::true_time(std::chrono::microseconds(value));
}

json encode_revision(const fleet::store_revision& revision) {
    return {revision.era, revision.number};
}

fleet::store_revision decode_revision(const json& in) {
    return {in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>()};
}

/// Decodes the numbers of the known revisions, which reports without eras have too.
known_revisions decode_revisions(const json& numbers) {
    known_revisions revisions;
    revisions.configuration.revision.number = numbers.at(0).get<std::uint64_t>();
    revisions.servers.number = numbers.at(1).get<std::uint64_t>();
    revisions.evacuations.number = numbers.at(2).get<std::uint64_t>();
    return revisions;
}

void decode_evacuation_revisions(const json& in, std::vector<reported_evacuation>& evacuations) {
    for (std::size_t i = 0; i < evacuations.size(); ++i) {
        evacuations[i].revision = decode_revision(in.at(i));
    }
}

peer_report decode(const json& in) {
    peer_report report;
    report.from = instance_id(in.at("from").get<std::string>());
    report.incarnation = in.at("incarnation").get<std::uint64_t>();
    report.sequence = in.at("number").get<std::uint64_t>();
    report.wanted_loans = in.at("wanted_loans").get<std::set<int>>();
    report.granted_loans = in.at("lent").get<std::set<int>>();
    report.leaving = in.at("leaving").get<bool>();
    report.isolated = in.at("isolated").get<bool>();
    const auto& known = in.at("known");
    report.revisions = decode_revisions(known);
    report.states_eras = in.contains("eras");
    if (report.states_eras) {
        const auto& eras = in.at("eras");
        report.revisions.configuration.version = in.at("version").get<std::int64_t>();
        report.revisions.configuration.revision.era = eras.at(0).get<std::uint64_t>();
        report.revisions.servers.era = eras.at(1).get<std::uint64_t>();
        report.revisions.evacuations.era = eras.at(2).get<std::uint64_t>();
    }
    for (const auto& [name, service] : in.at("services").items()) {
        report.services[service_name(name)] = decode_service(service);
    }
    if (in.contains("orders")) {
        report.knows_orders = in.at("knows_orders").get<bool>();
        report.confirms_orders = in.at("confirms").get<bool>();
        for (const auto& [name, order] : in.at("orders").items()) {
            report.orders[service_name(name)] = {order.at(0).get<std::uint64_t>(),
                                                 server_name(order.at(1).get<std::string>())};
        }
    }
    if (in.contains("wall_us")) {
        report.wall_time = decode_wall_time(in.at("wall_us"));
    }
    if (in.contains("configuration")) {
        report.configuration = std::make_shared<const fleet::configuration>(
            decode_configuration(in.at("configuration")));
        report.unusable_names = report.configuration->unusable_names;
    }
    if (in.contains("servers")) {
        report.servers.emplace();
        for (const auto& item : in.at("servers")) {
            auto server = decode_server(item);
            if (is_object_name(server.id.str()) && is_object_name(server.service.str())) {
                report.servers->push_back(std::move(server));
            } else {
                report.unusable_names.push_back("server " + server.id.str());
            }
        }
    }
    if (in.contains("evacuated")) {
        report.evacuated.emplace();
        for (const auto& zone : in.at("evacuated")) {
            report.evacuated->push_back({zone_name(zone.get<std::string>()), {}});
        }
        if (report.states_eras) {
            decode_evacuation_revisions(in.at("evacuated_at"), *report.evacuated);
        }
    }
    return report;
}

} // namespace

std::string encode_report(const peer_report& report) {
    json out{{"from", report.from.str()},
             {"incarnation", report.incarnation},
             {"number", report.sequence},
             {"wanted_loans", report.wanted_loans},
             {"lent", report.granted_loans},
             {"leaving", report.leaving},
             {"isolated", report.isolated},
             {"known",
              {report.revisions.configuration.revision.number, report.revisions.servers.number,
               report.revisions.evacuations.number}}};
    if (report.states_eras) {
        out["version"] = report.revisions.configuration.version;
        out["eras"] = {report.revisions.configuration.revision.era, report.revisions.servers.era,
                       report.revisions.evacuations.era};
    }
    out["services"] = json::object();
    for (const auto& [name, service] : report.services) {
        out["services"][name.str()] = encode_service(service);
    }
    if (report.knows_orders || !report.orders.empty()) {
        out["knows_orders"] = report.knows_orders;
        out["confirms"] = report.confirms_orders;
        out["orders"] = json::object();
        for (const auto& [name, order] : report.orders) {
            out["orders"][name.str()] = {order.fence, order.target.str()};
        }
    }
    if (report.wall_time) {
        out["wall_us"] = encode_wall_time(*report.wall_time);
    }
    if (report.configuration != nullptr) {
        out["configuration"] = encode_configuration(*report.configuration);
    }
    if (report.servers) {
        out["servers"] = json::array();
        for (const auto& server : *report.servers) {
            out["servers"].push_back(encode_server(server));
        }
    }
    if (report.evacuated) {
        out["evacuated"] = json::array();
        out["evacuated_at"] = json::array();
        for (const auto& [zone, revision] : *report.evacuated) {
            out["evacuated"].push_back(zone.str());
            out["evacuated_at"].push_back(encode_revision(revision));
        }
    }
    return out.dump();
}

peer_report decode_report(const std::string& text) {
    try {
        return decode(json::parse(text));
    } catch (const json::exception& failure) {
        throw report_unreadable(failure.what());
    }
}

} // namespace oriole::entry

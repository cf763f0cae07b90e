#include "entry/peer_report_codec.h"

#include <nlohmann/json.hpp>

namespace oriole::entry {
namespace {

using nlohmann::json;
using std::chrono::microseconds;

json micros(clock::duration value) {
    // Rounded up, so that an age never shrinks on the way.
    return std::chrono::ceil<microseconds>(value).count();
}

clock::duration micros(const json& value) {
    return microseconds(value.get<std::int64_t>());
}

json encode_position(const machines::log_position& position) {
    return json::array({position.term(), position.offset()});
}

machines::log_position decode_position(const json& value) {
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

json encode_service(const peer_service_report& report) {
    json out{{"primary", report.primary.str()}};
    if (report.answered) {
        out["answered"] = micros(*report.answered);
    }
    if (report.failing) {
        out["failing"] = micros(*report.failing);
    }
    if (report.position) {
        out["proved"] = report.proved.str();
        out["position"] = encode_position(*report.position);
        out["age"] = micros(report.proof_age);
    }
    return out;
}

peer_service_report decode_service(const json& in) {
    peer_service_report report;
    report.primary = server_name(in.at("primary").get<std::string>());
    if (in.contains("answered")) {
        report.answered = micros(in.at("answered"));
    }
    if (in.contains("failing")) {
        report.failing = micros(in.at("failing"));
    }
    if (in.contains("position")) {
        report.proved = server_name(in.at("proved").get<std::string>());
        report.position = decode_position(in.at("position"));
        report.proof_age = micros(in.at("age"));
    }
    return report;
}

json encode_server(const fleet::listed_server& server) {
    return {{"id", server.id.str()},
            {"service", server.service.str()},
            {"address", server.address.address()},
            {"port", server.address.port()},
            {"zone", server.zone.str()},
            {"draining", server.draining},
            {"primary", server.primary},
            {"born", server.born},
            {"revision", server.revision}};
}

fleet::listed_server decode_server(const json& in) {
    fleet::listed_server server;
    server.id = server_name(in.at("id").get<std::string>());
    server.service = service_name(in.at("service").get<std::string>());
    server.address =
        endpoint(in.at("address").get<std::string>(), in.at("port").get<std::uint16_t>());
    server.zone = zone_name(in.at("zone").get<std::string>());
    server.draining = in.at("draining").get<bool>();
    server.primary = in.at("primary").get<bool>();
    server.born = in.at("born").get<std::int64_t>();
    server.revision = in.at("revision").get<std::uint64_t>();
    return server;
}

json encode_route(const fleet::route& route) {
    return {{"database", route.database},
            {"service", route.service.str()},
            {"policy", static_cast<int>(route.policy)},
            {"timeout", micros(route.statement_timeout)},
            {"target", micros(route.latency_target)},
            {"age", micros(route.max_age)},
            {"open", route.open_to_all}};
}

fleet::route decode_route(const json& in) {
    fleet::route route;
    route.database = in.at("database").get<std::string>();
    route.service = service_name(in.at("service").get<std::string>());
    const int policy = in.at("policy").get<int>();
    if (policy < 0 || policy > static_cast<int>(fleet::read_policy::own_writes)) {
        throw report_unreadable("a route's read policy is unknown");
    }
    route.policy = static_cast<fleet::read_policy>(policy);
    route.statement_timeout = micros(in.at("timeout"));
    route.latency_target = micros(in.at("target"));
    route.max_age = micros(in.at("age"));
    route.open_to_all = in.at("open").get<bool>();
    return route;
}

json encode_configuration(const fleet::configuration& value) {
    json out{{"version", value.version}, {"idle", micros(value.transaction_idle)}};
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
    value.transaction_idle = micros(in.at("idle"));
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
    return value;
}

json encode_demand(const fleet::demand_report& report) {
    json demand = json::object();
    for (const auto& [account, value] : report.demand) {
        demand[account.str()] = value;
    }
    return {{"from", report.from.str()},
            {"incarnation", report.incarnation},
            {"number", report.number},
            {"accounts", std::move(demand)}};
}

fleet::demand_report decode_demand(const json& in) {
    fleet::demand_report report;
    report.from = instance_id(in.at("from").get<std::string>());
    report.incarnation = in.at("incarnation").get<std::uint64_t>();
    report.number = in.at("number").get<std::uint64_t>();
    for (const auto& [account, value] : in.at("accounts").items()) {
        report.demand[account_name(account)] = value.get<double>();
    }
    return report;
}

peer_report decode(const json& in) {
    peer_report report;
    report.demand = decode_demand(in.at("demand"));
    report.leaving = in.at("leaving").get<bool>();
    report.confirmed = in.at("confirmed").get<std::uint64_t>();
    const auto& known = in.at("known");
    report.known = {known.at(0).get<std::uint64_t>(), known.at(1).get<std::uint64_t>(),
                    known.at(2).get<std::uint64_t>()};
    for (const auto& [name, service] : in.at("services").items()) {
        report.services[service_name(name)] = decode_service(service);
    }
    if (in.contains("configuration")) {
        report.configuration = std::make_shared<const fleet::configuration>(
            decode_configuration(in.at("configuration")));
    }
    if (in.contains("servers")) {
        report.servers.emplace();
        for (const auto& server : in.at("servers")) {
            report.servers->push_back(decode_server(server));
        }
    }
    if (in.contains("evacuated")) {
        report.evacuated.emplace();
        for (const auto& zone : in.at("evacuated")) {
            report.evacuated->emplace_back(zone.get<std::string>());
        }
    }
    return report;
}

} // namespace

std::string encode_report(const peer_report& report) {
    json out{
        {"demand", encode_demand(report.demand)},
        {"confirmed", report.confirmed},
        {"leaving", report.leaving},
        {"known", {report.known.configuration, report.known.servers, report.known.evacuations}}};
    out["services"] = json::object();
    for (const auto& [name, service] : report.services) {
        out["services"][name.str()] = encode_service(service);
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
        for (const auto& zone : *report.evacuated) {
            out["evacuated"].push_back(zone.str());
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

#include "links/database_report_codec.h"

#include <nlohmann/json.hpp>

namespace oriole::links {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Encodes the age of data whose age the server does not know.
constexpr std::int64_t unknown_age = -1;

json to_json(const machines::log_position& position) {
    return json::array({position.term(), position.offset()});
}

machines::log_position position_from(const json& value) {
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

json to_json(const machines::relayed_report& relayed) {
    const auto& report = relayed.report;
    const bool age_known = report.age != milliseconds::max();
    return {{"server", report.server.str()},
            {"term", report.term},
            {"primary", report.role == machines::server_role::primary},
            {"held", to_json(report.held)},
            {"applied", to_json(report.applied)},
            {"age", age_known ? report.age.count() : unknown_age},
            {"heard_ago", relayed.received_ago.count()}};
}

machines::relayed_report report_from(const json& value) {
    machines::relayed_report relayed;
    auto& report = relayed.report;
    report.server = server_name{value.at("server").get<std::string>()};
    report.term = value.at("term").get<std::uint64_t>();
    const bool primary = value.at("primary").get<bool>();
    report.role = primary ? machines::server_role::primary : machines::server_role::replica;
    report.held = position_from(value.at("held"));
    report.applied = position_from(value.at("applied"));
    const auto age = value.at("age").get<std::int64_t>();
    report.age = age < 0 ? milliseconds::max() : milliseconds(age);
    relayed.received_ago = milliseconds(value.at("heard_ago").get<std::uint32_t>());
    return relayed;
}

json to_json(const machines::failure_evidence& evidence) {
    return {{"primary", evidence.primary.str()},
            {"term", evidence.term},
            {"observer", evidence.observer.str()},
            {"silent_for", evidence.silent_for.count()}};
}

machines::failure_evidence evidence_from(const json& value, const database_name& database) {
    machines::failure_evidence evidence;
    evidence.database = database;
    evidence.primary = server_name{value.at("primary").get<std::string>()};
    evidence.term = value.at("term").get<std::uint64_t>();
    evidence.observer = instance_id{value.at("observer").get<std::string>()};
    evidence.silent_for = milliseconds(value.at("silent_for").get<std::uint32_t>());
    return evidence;
}

json to_json(const machines::database_digest& digest) {
    json value = {{"database", digest.database.str()},
                  {"from", digest.from.str()},
                  {"term", digest.term},
                  {"highest_term", digest.highest_term},
                  {"writes_held", digest.writes_held},
                  {"reports", json::array()}};
    if (digest.primary) {
        value["primary"] = digest.primary->str();
    }
    for (const auto& report : digest.reports) {
        value["reports"].push_back(to_json(report));
    }
    if (digest.evidence) {
        value["evidence"] = to_json(*digest.evidence);
    }
    return value;
}

machines::database_digest digest_from(const json& value) {
    machines::database_digest digest;
    digest.database = database_name{value.at("database").get<std::string>()};
    digest.from = instance_id{value.at("from").get<std::string>()};
    digest.term = value.at("term").get<std::uint64_t>();
    digest.highest_term = value.at("highest_term").get<std::uint64_t>();
    digest.writes_held = value.at("writes_held").get<bool>();
    if (value.contains("primary")) {
        digest.primary = server_name{value.at("primary").get<std::string>()};
    }
    for (const auto& report : value.at("reports")) {
        digest.reports.push_back(report_from(report));
    }
    if (value.contains("evidence")) {
        digest.evidence = evidence_from(value.at("evidence"), digest.database);
    }
    return digest;
}

} // namespace

std::string encode_database_report(const std::vector<machines::database_digest>& digests) {
    json list = json::array();
    for (const auto& digest : digests) {
        list.push_back(to_json(digest));
    }
    return json{{"digests", list}}.dump();
}

std::vector<machines::database_digest> decode_database_report(const std::string& text) {
    try {
        std::vector<machines::database_digest> digests;
        const json report = json::parse(text);
        for (const auto& value : report.at("digests")) {
            digests.push_back(digest_from(value));
        }
        return digests;
    } catch (const json::exception& problem) {
        throw decode_error(std::string("invalid database report: ") + problem.what());
    }
}

} // namespace oriole::links

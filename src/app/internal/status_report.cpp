#include <utility>

#include "app/internal/status_report.h"

#include <nlohmann/json.hpp>

namespace oriole::app {
namespace {

using nlohmann::json;

json position_json(const machines::log_position& position) {
    return {{"term", position.term()}, {"offset", position.offset()}};
}

json pool_json(const links::pool_status& pool) {
    return {{"connections", pool.connections},
            {"allotment", pool.connection_quota},
            {"queued", pool.queued},
            {"in_flight", pool.in_flight},
            {"concurrency_limit", pool.concurrency_limit},
            {"circuit_open", pool.circuit_open},
            {"latency_us", pool.latency.count()}};
}

json server_json(const server_name& name, const site_context& site,
                 const machines::database_view& view) {
    json item = {{"name", name.str()}, {"reported", false}};
    const auto report = view.reports.find(name);
    if (report != view.reports.end()) {
        const auto& seen = report->second;
        item["reported"] = true;
        item["role"] = std::string(machines::to_string(seen.role));
        item["term"] = seen.term;
        item["held"] = position_json(seen.held);
        item["applied"] = position_json(seen.applied);
        item["unapplied_entries"] =
            seen.held.offset() - std::min(seen.applied.offset(), seen.held.offset());
    }
    const auto pool = site.pools.find(name);
    if (pool != site.pools.end()) {
        item["pool"] = pool_json(pool->second->status());
    }
    return item;
}

json timeline_json(const machines::promotion_timeline& timeline) {
    json milestones = json::array();
    for (const auto& milestone : timeline.milestones) {
        milestones.push_back({{"state", std::string(machines::to_string(milestone.state))},
                              {"after_ms", milestone.after.count()}});
    }
    const auto started =
        std::chrono::duration_cast<std::chrono::milliseconds>(timeline.started.time_since_epoch());
    return {{"reason", timeline.reason},
            {"term", timeline.term},
            {"started_ms", started.count()},
            {"primary", timeline.primary ? json(timeline.primary->str()) : json(nullptr)},
            {"milestones", milestones}};
}

json database_json(const machines::database& database, const site_context& site,
                   const machines::database_view& view) {
    json servers = json::array();
    for (const auto& name : database.servers()) {
        servers.push_back(server_json(name, site, view));
    }
    return {{"name", database.name().str()},
            {"term", view.term},
            {"primary", view.primary ? json(view.primary->str()) : json(nullptr)},
            {"servers", servers}};
}

} // namespace

std::string make_status_report(const machines::instance& self, const control_plane& control,
                               bool leaving) {
    json report = {{"instance", self.id().str()},
                   {"zone", self.zone().str()},
                   {"state", leaving ? "leaving" : "live"},
                   {"generation", 0},
                   {"open_transactions", control.traffic().open_transactions()},
                   {"databases", json::array()}};
    const auto& site = control.traffic().site();
    if (!site) {
        return report.dump();
    }
    report["generation"] = site->generation;
    std::map<database_name, machines::promotion_timeline> last_changes;
    for (const auto& timeline : control.databases().timelines()) {
        last_changes[timeline.database] = timeline;
    }
    for (const auto& [name, database] : site->objects.databases()) {
        const auto view = control.databases().view(name).value_or(machines::database_view{});
        json item = database_json(database, *site, view);
        const auto change = last_changes.find(name);
        if (change != last_changes.end()) {
            item["last_change"] = timeline_json(change->second);
        }
        report["databases"].push_back(std::move(item));
    }
    return report.dump();
}

} // namespace oriole::app

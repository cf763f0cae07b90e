#include "load/load_report.h"

#include "load/account_summary.h"
#include "load/rate_excess.h"

#include <utility>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>

namespace oriole::load {
namespace {

using nlohmann::json;
using requests = std::vector<const recorded_request*>;

/// The length of the intervals into which the timeline of the report is divided.
constexpr std::chrono::milliseconds timeline_interval{100};
/// The report counts all violations but describes at most this number.
constexpr std::size_t max_violation_details = 20;

json percentiles(std::vector<std::int64_t> samples) {
    if (samples.empty()) {
        return json::object();
    }
    std::sort(samples.begin(), samples.end());
    const auto at = [&samples](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(samples.size()));
        return samples[std::min(index, samples.size() - 1)];
    };
    return {{"p50", at(0.5)}, {"p99", at(0.99)}, {"p999", at(0.999)}, {"max", samples.back()}};
}

template <class Predicate>
json latency(const requests& load, Predicate predicate) {
    std::vector<std::int64_t> samples;
    for (const auto* request : load) {
        if (request->done() && predicate(*request)) {
            samples.push_back((request->answered - request->intended).count());
        }
    }
    return percentiles(std::move(samples));
}

template <class Predicate>
std::size_t count(const requests& load, Predicate predicate) {
    return static_cast<std::size_t>(
        std::count_if(load.begin(), load.end(),
                      [&predicate](const auto* request) { return predicate(*request); }));
}

bool has_unknown_outcome(const recorded_request& request) {
    return !request.result || request.result == outcome::unknown;
}

bool was_not_run(const recorded_request& request) {
    return request.result == outcome::not_run;
}

json make_timeline(const requests& load) {
    std::map<std::int64_t, requests> steps;
    for (const auto* request : load) {
        steps[request->answered / timeline_interval].push_back(request);
    }
    json timeline = json::array();
    for (const auto& [step, part] : steps) {
        const json times = latency(part, [](const auto&) { return true; });
        timeline.push_back(
            {{"t_ms", step * timeline_interval.count()},
             {"answered", count(part, [](const auto& request) { return request.done(); })},
             {"refused", count(part, was_not_run)},
             {"unknown", count(part, has_unknown_outcome)},
             {"p50_us", times.value("p50", 0)},
             {"p99_us", times.value("p99", 0)}});
    }
    return timeline;
}

json make_statuses(const requests& load) {
    std::map<std::string, std::size_t> statuses;
    for (const auto* request : load) {
        ++statuses[std::to_string(request->status)];
    }
    return statuses;
}

void add_accounts(json& report, const recorded_history& history) {
    double worst_share = 1;
    double excess = 0;
    std::size_t wrongly_refused = 0;
    std::size_t due = 0;
    std::int64_t longest_gap_us = 0;
    for (const auto& [name, constraints] : history.accounts) {
        const auto summary = summarize_account(history, name);
        worst_share =
            constraints.key_ends ? worst_share : std::min(worst_share, summary.share_of_due());
        wrongly_refused += summary.wrongly_refused;
        due += summary.due;
        longest_gap_us = std::max<std::int64_t>(longest_gap_us, summary.longest_write_gap.count());
        requests done;
        for (const auto& request : history.requests) {
            if (request.account == name && request.done()) {
                done.push_back(&request);
            }
        }
        if (constraints.limit) {
            excess = std::max(excess, find_rate_excess(done, *constraints.limit).excess);
        }
        report["accounts"][name] = {{"requests", summary.requests},
                                    {"answered", summary.answered},
                                    {"refused_over_rate", summary.refused_over_rate},
                                    {"due", summary.due},
                                    {"wrongly_refused", summary.wrongly_refused},
                                    {"share_of_due", summary.share_of_due()},
                                    {"longest_write_gap_us", summary.longest_write_gap.count()}};
    }
    report["worst_account_share"] = worst_share;
    report["rate_excess"] = excess;
    report["wrongful_refusals"] =
        due == 0 ? 0 : static_cast<double>(wrongly_refused) / static_cast<double>(due);
    report["longest_write_gap_ms"] = static_cast<double>(longest_gap_us) / 1000;
}

void add_violations(json& report, const std::vector<std::string>& properties,
                    const std::vector<violation>& violations) {
    report["violations"] = json::object();
    for (const auto& name : properties) {
        report["violations"][name] = 0;
    }
    for (const auto& found : violations) {
        report["violations"][found.property] = report["violations"].value(found.property, 0) + 1;
    }
    report["violation_details"] = json::array();
    for (std::size_t i = 0; i < std::min(violations.size(), max_violation_details); ++i) {
        report["violation_details"].push_back({{"property", violations[i].property},
                                               {"detail", violations[i].detail},
                                               {"requests", violations[i].requests}});
    }
}

json to_json(const recorded_request& request) {
    json line{{"id", request.id},
              {"account", request.account},
              {"session", request.session},
              {"phase", request.phase == request_phase::load ? "load" : "check"},
              {"write", request.writes()},
              {"target", request.target},
              {"intended_us", request.intended.count()},
              {"sent_us", request.sent.count()},
              {"answered_us", request.answered.count()},
              {"status", request.status},
              {"outcome", request.result ? json(to_string(*request.result)) : json(nullptr)},
              {"by_replica", request.by_replica},
              {"reason", request.reason}};
    if (request.resolved) {
        line["resolved"] = to_string(*request.resolved);
    }
    line["text"] = describe(request);
    return line;
}

} // namespace

std::string make_load_report(const load_result& result, const std::vector<std::string>& properties,
                             const std::vector<violation>& violations) {
    requests load;
    for (const auto& request : result.history.requests) {
        if (request.phase == request_phase::load) {
            load.push_back(&request);
        }
    }
    const auto reads = count(load, [](const auto& r) { return !r.writes() && r.done(); });
    const auto replica = count(load, [](const auto& r) { return r.by_replica && r.done(); });
    json report;
    report["start_monotonic_us"] =
        std::chrono::duration_cast<std::chrono::microseconds>(result.started.time_since_epoch())
            .count();
    report["requests"] = load.size();
    report["answered"] = count(load, [](const auto& r) { return r.done(); });
    report["not_run"] = count(load, was_not_run);
    report["unknown"] = count(load, has_unknown_outcome);
    report["cut_off"] =
        count(load, [](const auto& r) { return r.status == 0 && has_unknown_outcome(r); });
    report["unsent"] = result.unsent;
    report["unread_rows"] = result.unread_rows;
    report["statuses"] = make_statuses(load);
    report["replica_read_share"] =
        reads == 0 ? 0 : static_cast<double>(replica) / static_cast<double>(reads);
    report["latency_us"] = latency(load, [](const auto&) { return true; });
    report["read_latency_us"] = latency(load, [](const auto& r) { return !r.writes(); });
    report["write_latency_us"] = latency(load, [](const auto& r) { return r.writes(); });
    add_accounts(report, result.history);
    add_violations(report, properties, violations);
    report["timeline"] = make_timeline(load);
    return report.dump(1);
}

void write_records(std::ostream& out, const recorded_history& history) {
    for (const auto& request : history.requests) {
        out << to_json(request).dump() << '\n';
    }
}

} // namespace oriole::load

#include "ctl/internal/change_publisher.h"

#include "base/clock.h"
#include "base/random_source.h"
#include "ctl/internal/difference_output.h"
#include "ctl/internal/endpoint_text.h"
#include "ctl/internal/findings_output.h"
#include "ctl/internal/instance_status.h"

#include <nlohmann/json.hpp>

namespace oriole::ctl {
namespace {

/// How long --wait waits for all live instances to use the new generation.
constexpr std::chrono::seconds confirmation_timeout{10};
constexpr std::chrono::milliseconds poll_interval{100};

} // namespace

change_publisher::change_publisher(environment& system, const arguments& args, console& output)
    : m_system(system),
      m_args(args),
      m_console(output),
      m_object_store(system.http(), parse_endpoint(args.value("platform"))),
      m_store(site::make_site_store(m_object_store)),
      m_operation_id(make_unique_id(system.random())),
      m_time(system.utc_time()) {}

std::vector<option_schema> change_publisher::options() {
    return {{"platform", "ADDRESS:PORT", "the platform's address", true},
            {"author", "NAME", "who makes the change, for the audit", true},
            {"comment", "TEXT", "why, for the audit and the history", false},
            {"wait", "", "wait until every live instance has confirmed", false},
            {"force", "", "accept databases that are left without a majority of servers", false},
            {"dry-run", "", "show the difference and publish nothing", false}};
}

site::majority_loss_policy change_publisher::policy() const {
    return m_args.has("force") ? site::majority_loss_policy::allow
                               : site::majority_loss_policy::refuse;
}

exit_code change_publisher::publish(const edit& change, const std::string& reason,
                                    std::map<std::string, std::string> results) {
    m_results = std::move(results);
    const auto head = m_store->head();
    const auto base = head ? m_store->load(*head) : site::site_objects{};
    auto proposed = change(base);
    // The site store checks the objects too, but does not know their positions in the files.
    const auto found = site::make_site_checker()->check({proposed, m_source_places}, policy());
    if (has_errors(found)) {
        write_findings(found, m_console);
        return exit_code::findings;
    }
    if (m_args.has("dry-run")) {
        write_differences(site::differences(base, proposed), m_console);
        return exit_code::clean;
    }
    try {
        const auto result = publish_objects(base, head ? head->number() : 0, std::move(proposed));
        if (result.after != result.before) {
            write_audit(result, reason);
        }
        return write_result(result);
    } catch (const site::invalid_site& rejected) {
        write_findings(rejected.found(), m_console);
        return exit_code::findings;
    }
}

site::publish_result change_publisher::publish_objects(const site::site_objects& base,
                                                       site::generation number,
                                                       site::site_objects proposed) {
    const auto in_use = newest_generation_in_use(m_system.http(), m_object_store);
    if (in_use > number) {
        m_console.err << "oriolectl: the instances use generation " << in_use
                      << ", but the newest at the platform is " << number
                      << "; the changes of the generations after it are lost and have to be made "
                         "again\n";
    }
    const site::proposed_change change{
        m_operation_id,          number, base, std::move(proposed), m_args.value("author"), m_time,
        m_args.value("comment"), in_use};
    return m_store->publish(change, policy());
}

void change_publisher::write_audit(const site::publish_result& result, const std::string& reason) {
    const std::string comment = m_args.value("comment");
    const nlohmann::json entry{{"who", m_args.value("author")},
                               {"when", m_time},
                               {"from", result.before.number()},
                               {"to", result.after.number()},
                               {"generation", result.after.number()},
                               {"reason", comment.empty() ? reason : reason + ": " + comment}};
    try {
        m_object_store.put("audit/" + m_time + "-" + m_operation_id,
                           entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0,
                           m_operation_id);
    } catch (const site::store_unreachable& problem) {
        m_console.err << "oriolectl: generation " << result.after.number()
                      << " is accepted, but its audit entry could not be written: "
                      << problem.what() << "; 'oriolectl history' shows its author and comment\n";
    }
}

exit_code change_publisher::write_result(const site::publish_result& result) {
    const bool changed = result.after != result.before;
    const auto unconfirmed = m_args.has("wait") ? wait_for_confirmation(result.after.number())
                                                : std::vector<std::string>{};
    if (m_console.json()) {
        nlohmann::json summary{{"generation", result.after.number()},
                               {"changed", changed},
                               {"unconfirmed", unconfirmed}};
        summary.update(nlohmann::json(m_results));
        m_console.out << summary.dump(2) << "\n";
    } else {
        m_console.out << "generation " << result.after.number()
                      << (changed ? " accepted\n" : " unchanged, there is no difference\n");
        for (const auto& [name, value] : m_results) {
            m_console.out << name << " " << value << "\n";
        }
        for (const auto& id : unconfirmed) {
            m_console.err << "oriolectl: instance " << id << " has not confirmed generation "
                          << result.after.number() << "\n";
        }
    }
    return unconfirmed.empty() ? exit_code::clean : exit_code::findings;
}

/// Polls the live instances until all of them use generation `number` or a newer one. Returns the
/// ids of those that do not within confirmation_timeout.
std::vector<std::string> change_publisher::wait_for_confirmation(site::generation number) {
    const auto deadline = m_system.monotonic_clock().now() + confirmation_timeout;
    while (true) {
        std::vector<std::string> unconfirmed;
        for (const auto& status : read_instance_status(m_system.http(), m_object_store)) {
            if (status.generation < number) {
                unconfirmed.push_back(status.id);
            }
        }
        if (unconfirmed.empty() || m_system.monotonic_clock().now() >= deadline) {
            return unconfirmed;
        }
        m_system.sleep_for(poll_interval);
    }
}

} // namespace oriole::ctl

#pragma once

#include "ctl/command.h"
#include "ctl/environment.h"
#include "ctl/internal/http_object_store.h"
#include "site/site_store.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace oriole::ctl {

/// Publishes an edit of the newest configuration, writes an audit entry and prints the result. All
/// calls share one operation id, so each command run needs its own publisher. Not thread-safe.
class change_publisher {
public:
    /// Returns the edited copy of a set of objects.
    using edit = std::function<site::site_objects(const site::site_objects&)>;

    /// All arguments outlive the publisher.
    change_publisher(environment& system, const arguments& args, console& output);

    /// The options of every command that publishes a configuration.
    [[nodiscard]] static std::vector<option_schema> options();

    /// Applies `change` to the newest configuration and publishes the outcome; with --dry-run only
    /// prints the differences. `reason` goes into the audit entry. `results` are name-value pairs,
    /// such as a new key, that are printed only once the configuration has been accepted.
    [[nodiscard]] exit_code publish(const edit& change, const std::string& reason,
                                    std::map<std::string, std::string> results = {});

    /// Sets the file position of each object, for use in findings about the object.
    void set_source_places(site::object_places places) { m_source_places = std::move(places); }

private:
    [[nodiscard]] site::publish_result publish_objects(const site::site_objects& base,
                                                       site::generation number,
                                                       site::site_objects proposed);
    void write_audit(const site::publish_result& result, const std::string& reason);
    [[nodiscard]] exit_code write_result(const site::publish_result& result);
    [[nodiscard]] site::majority_loss_policy policy() const;
    [[nodiscard]] std::vector<std::string> wait_for_confirmation(site::generation number);

    environment& m_system;
    const arguments& m_args;
    console& m_console;
    http_object_store m_object_store;
    std::unique_ptr<site::site_store> m_store;
    std::string m_operation_id;
    std::string m_time;
    std::map<std::string, std::string> m_results;
    site::object_places m_source_places;
};

} // namespace oriole::ctl

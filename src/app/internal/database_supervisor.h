#pragma once

#include "app/internal/database_watch.h"
#include "machines/types/instance.h"
#include "machines/watch_assignment.h"
#include "site/types/site_objects.h"

#include <map>
#include <memory>
#include <vector>

namespace oriole::app {

/// Runs a database_watch for each database of the site. Used on the control thread, where the
/// listener is called with each new view. Not thread-safe.
class database_supervisor {
public:
    /// Precondition: `connector` and `time` outlive the executor's work.
    database_supervisor(boost::asio::any_io_executor executor, links::backend_connector& connector,
                        const clock& time, instance_id self, database_watch::listener on_view,
                        watch_settings settings = {});
    ~database_supervisor();
    database_supervisor(const database_supervisor&) = delete;
    database_supervisor& operator=(const database_supervisor&) = delete;

    /// Starts, updates and stops the watches according to a new site.
    void set_site(const site::site_objects& site);

    /// Sets the live instances, this one included, among which the watching of databases is
    /// divided.
    void set_instances(std::vector<machines::instance> instances);

    /// Stops all watches. Their coroutines end when the calls in progress have ended.
    void stop();

    /// Merges a peer's report on a database. Unknown databases are ignored.
    void merge_report(const machines::database_digest& digest);

    /// Reports for the peers on the databases that this instance watches.
    [[nodiscard]] std::vector<machines::database_digest> digests() const;

    /// Records that a traffic thread saw `term` at a server, with `primary` as the primary of that
    /// term if known.
    void observe_term(const database_name& database, std::uint64_t term,
                      const std::optional<server_name>& primary);

    /// Nullopt for an unknown database.
    [[nodiscard]] std::optional<machines::database_view> view(const database_name& database) const;

    /// Recent promotions made by this instance, grouped by database.
    [[nodiscard]] std::vector<machines::promotion_timeline> timelines() const;

private:
    void assign(const database_name& database, database_watch& watch) const;

    boost::asio::any_io_executor m_executor;
    links::backend_connector& m_connector;
    const clock& m_clock;
    instance_id m_self;
    database_watch::listener m_on_view;
    watch_settings m_settings;
    std::unique_ptr<machines::watch_assignment> m_assignment;
    std::vector<machines::instance> m_instances;
    std::map<database_name, std::shared_ptr<database_watch>> m_watches;
};

} // namespace oriole::app

#pragma once

#include "apply_schedule.h"
#include "entry_log.h"
#include "freshness.h"
#include "row_table.h"
#include "transaction.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace oriole::standins {

/// State that a server keeps for one client connection.
struct connection_state {
    std::optional<transaction> open_transaction;
    /// When the last fetch request on this connection was answered. The replica sent the next one
    /// after that time.
    std::optional<clock::time_point> fetch_answered_at;
};

struct database_settings {
    server_name self;
    lag_range lag;
    std::chrono::milliseconds ship_delay{
        0}; ///< delay before a new log entry may be sent to replicas
    std::uint64_t seed = 1;
};

/// Simulates one backend server as the proxy sees it: log, rows, terms and replication rules,
/// without sockets. The current time is a parameter of each call, so that tests control it. Not
/// thread-safe.
class database_server {
public:
    explicit database_server(database_settings settings);

    /// Makes the server primary without fencing or promotion, when a new database is started.
    void start_as_primary(std::uint64_t term, std::vector<links::member_address> members);

    /// Handles a request received on the statement port.
    [[nodiscard]] links::backend_result statement_call(const links::backend_call& call,
                                                       connection_state& connection,
                                                       clock::time_point now);

    /// Handles a request received on the control port. None while the request has to wait: the
    /// caller repeats it after change_count() has changed, and answers with expired_result() once
    /// the wait time of the request is over.
    [[nodiscard]] std::optional<links::backend_result> control_call(const links::backend_call& call,
                                                                    connection_state& connection,
                                                                    clock::time_point now);

    /// The answer to a confirm or fetch request whose wait time is over.
    [[nodiscard]] links::backend_result expired_result(const links::backend_call& call,
                                                       connection_state& connection,
                                                       clock::time_point now);

    /// The primary that this server replicates from; none for a primary and for a fenced server.
    [[nodiscard]] const std::optional<links::follow_request>& following() const noexcept {
        return m_following;
    }

    /// The request for the log entries after the last one held. The primary may wait for `wait`
    /// before it answers without new entries.
    [[nodiscard]] links::fetch_request next_fetch(std::chrono::milliseconds wait) const;

    /// Processes the answer to next_fetch(), which was sent to the primary `source` at `sent_at`.
    void handle_fetch_answer(const links::follow_request& source, links::fetch_answer answer,
                             clock::time_point sent_at, clock::time_point now);

    /// Applies entries whose replication lag is over and allows replicas to fetch entries
    /// whose `ship_delay` is over.
    void advance(clock::time_point now);

    /// When advance() next has entries to apply or to release to replicas; none when it has not.
    [[nodiscard]] std::optional<clock::time_point> next_event() const;

    /// Increases whenever a waiting control request may have become answerable.
    [[nodiscard]] std::uint64_t change_count() const noexcept { return m_change_count; }

    void set_connections(std::uint32_t count) noexcept { m_connections = count; }

private:
    /// A log entry that may be sent to replicas from `due` on.
    struct shipment {
        std::uint64_t offset = 0;
        clock::time_point due;
    };

    using result = links::backend_result;
    using maybe_result = std::optional<links::backend_result>;

    result handle_statement(const links::execute_request& call, connection_state& connection,
                            clock::time_point now);
    result handle_statement(const links::begin_request& call, connection_state& connection,
                            clock::time_point now);
    result handle_statement(const links::commit_request& call, connection_state& connection,
                            clock::time_point now);
    result handle_statement(const links::rollback_request& call, connection_state& connection,
                            clock::time_point now);
    result handle_statement(const links::lookup_request& call, connection_state& connection,
                            clock::time_point now);

    maybe_result handle_control(const links::confirm_request& call, connection_state& connection,
                                clock::time_point now);
    maybe_result handle_control(const links::probe_request& call, connection_state& connection,
                                clock::time_point now);
    maybe_result handle_control(const links::fence_request& call, connection_state& connection,
                                clock::time_point now);
    maybe_result handle_control(const links::promote_request& call, connection_state& connection,
                                clock::time_point now);
    maybe_result handle_control(const links::follow_request& call, connection_state& connection,
                                clock::time_point now);
    maybe_result handle_control(const links::fetch_request& call, connection_state& connection,
                                clock::time_point now);

    result read(const links::execute_request& call, clock::time_point now);
    result write(const links::execute_request& call, clock::time_point now);
    result run_in_transaction(const links::execute_request& call, connection_state& connection);
    maybe_result check_position(const std::optional<log_position>& required) const;
    maybe_result check_primary(std::uint64_t term) const;
    maybe_result find_recorded_result(const std::string& request_id) const;
    result refuse(links::refusal_reason reason, std::string message) const;

    log_position append(std::vector<statement> statements, std::string request_id,
                        std::vector<statement_result> results, clock::time_point now);
    links::fetch_answer entries_after(log_position from, clock::time_point now) const;
    std::uint64_t last_shippable_offset(clock::time_point now) const;
    void become_replica(std::uint64_t term, std::string promoter);
    void become_primary(std::vector<links::member_address> members, clock::time_point now);
    void truncate_after(std::uint64_t offset);
    void apply_up_to(std::uint64_t offset);

    [[nodiscard]] log_position applied_position() const;
    [[nodiscard]] std::chrono::milliseconds age(clock::time_point now) const;

    database_settings m_settings;
    entry_log m_log;
    row_table m_rows;
    apply_schedule m_schedule;
    replica_freshness m_freshness;
    member_contacts m_contacts;
    std::deque<shipment> m_shipments; ///< entries that may not be sent to replicas yet
    std::uint64_t m_term = 0;         ///< highest accepted term
    std::string m_promoter;           ///< sender of the fence request accepted at m_term
    bool m_is_primary = false;
    std::optional<links::follow_request> m_following;
    std::uint64_t m_change_count = 0;
    std::uint32_t m_connections = 0;
};

} // namespace oriole::standins

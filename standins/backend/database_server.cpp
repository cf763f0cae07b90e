#include "database_server.h"

#include <algorithm>
#include <type_traits>

namespace oriole::standins {
namespace {

using links::accepted_answer;
using links::confirm_answer;
using links::execute_answer;
using links::execute_mode;
using links::fetch_answer;
using links::refusal_answer;
using links::refusal_reason;
using std::chrono::milliseconds;

/// Limits on one fetch answer, which keep it below the size limit of a message: the number of
/// entries, and the text size of their statements and results, which only a single large entry
/// may exceed.
constexpr std::size_t max_fetched_entries = 512;
constexpr std::size_t max_fetched_bytes = std::size_t{256} << 10U;

/// Limit on the text size of one entry. An entry above max_fetched_bytes is sent alone and must fit
/// into one fetch answer.
constexpr std::size_t max_entry_bytes = std::size_t{512} << 10U;

std::size_t text_bytes(const std::vector<statement>& statements,
                       const std::vector<statement_result>& results) {
    std::size_t bytes = 0;
    for (const statement& item : statements) {
        bytes += item.row.size() + item.value.size();
    }
    for (const statement_result& item : results) {
        bytes += item.row.size() + (item.value ? item.value->size() : 0);
    }
    return bytes;
}

bool any_writes(const std::vector<statement>& statements) {
    return std::any_of(statements.begin(), statements.end(),
                       [](const statement& item) { return item.writes(); });
}

} // namespace

database_server::database_server(database_settings settings)
    : m_settings(std::move(settings)),
      m_schedule(m_settings.lag, make_random_source(m_settings.seed)) {}

void database_server::start_as_primary(std::uint64_t term,
                                       std::vector<links::member_address> members) {
    m_term = term;
    become_primary(std::move(members), clock::time_point());
}

links::backend_result database_server::statement_call(const links::backend_call& call,
                                                      connection_state& connection,
                                                      clock::time_point now) {
    return std::visit(
        [&](const auto& request) -> result {
            if constexpr (requires { handle_statement(request, connection, now); }) {
                return handle_statement(request, connection, now);
            } else {
                return refuse(refusal_reason::malformed,
                              "this request is accepted on the control port only");
            }
        },
        call);
}

std::optional<links::backend_result> database_server::control_call(const links::backend_call& call,
                                                                   connection_state& connection,
                                                                   clock::time_point now) {
    return std::visit(
        [&](const auto& request) -> maybe_result {
            if constexpr (requires { handle_control(request, connection, now); }) {
                return handle_control(request, connection, now);
            } else {
                return refuse(refusal_reason::malformed,
                              "this request is accepted on the statement port only");
            }
        },
        call);
}

links::backend_result database_server::expired_result(const links::backend_call& call,
                                                      connection_state& connection,
                                                      clock::time_point now) {
    if (std::holds_alternative<links::fetch_request>(call)) {
        fetch_answer empty_answer;
        empty_answer.last = m_log.last_position();
        empty_answer.age = age(now);
        connection.fetch_answered_at = now;
        return empty_answer;
    }
    return confirm_answer{false};
}

// Requests on the statement port

links::backend_result database_server::handle_statement(const links::execute_request& call,
                                                        connection_state& connection,
                                                        clock::time_point now) {
    if (call.mode == execute_mode::read && any_writes(call.statements)) {
        return refuse(refusal_reason::malformed,
                      "a read request must not contain writing statements");
    }
    try {
        if (connection.open_transaction) {
            return run_in_transaction(call, connection);
        }
        return call.mode == execute_mode::read ? read(call, now) : write(call, now);
    } catch (const not_a_number& failure) {
        connection.open_transaction.reset();
        return refuse(refusal_reason::malformed, failure.what());
    }
}

links::backend_result database_server::read(const links::execute_request& call,
                                            clock::time_point now) {
    if (auto refusal = check_position(call.required)) {
        return std::move(*refusal);
    }
    const milliseconds data_age = age(now);
    if (call.max_age && data_age > *call.max_age) {
        return refuse(refusal_reason::too_old,
                      "data may be older than " + std::to_string(call.max_age->count()) + " ms");
    }
    execute_answer answer;
    answer.results.reserve(call.statements.size());
    for (const statement& item : call.statements) {
        const stored_row* row = m_rows.find(item.row);
        answer.results.push_back(
            {item.row, row == nullptr ? std::nullopt : std::optional(row->value)});
    }
    answer.position = applied_position();
    if (data_age != milliseconds::max()) {
        answer.age = data_age;
    }
    return answer;
}

std::optional<links::backend_result>
database_server::check_position(const std::optional<log_position>& required) const {
    if (!required) {
        return std::nullopt;
    }
    if (!m_log.contains(*required)) {
        return m_log.may_receive(*required)
                   ? refuse(refusal_reason::behind, "log entry " +
                                                        std::to_string(required->offset()) +
                                                        " has not been received")
                   : refuse(refusal_reason::history_lost,
                            "log entry " + std::to_string(required->offset()) + " of term " +
                                std::to_string(required->term()) +
                                " is not part of this server's log");
    }
    if (required->offset() > m_rows.applied_offset()) {
        return refuse(refusal_reason::behind, "log entry " + std::to_string(required->offset()) +
                                                  " is not applied yet; last applied is " +
                                                  std::to_string(m_rows.applied_offset()));
    }
    return std::nullopt;
}

links::backend_result database_server::write(const links::execute_request& call,
                                             clock::time_point now) {
    if (auto refusal = check_primary(call.term)) {
        return std::move(*refusal);
    }
    if (auto recorded = find_recorded_result(call.request_id)) {
        return std::move(*recorded);
    }
    transaction autocommit(m_term);
    execute_answer answer;
    answer.results = autocommit.run(m_rows, call.statements);
    if (text_bytes(autocommit.writes(), answer.results) > max_entry_bytes) {
        return refuse(refusal_reason::malformed,
                      "request exceeds the limit of " + std::to_string(max_entry_bytes) + " bytes");
    }
    answer.position = append(autocommit.writes(), call.request_id, answer.results, now);
    return answer;
}

links::backend_result database_server::run_in_transaction(const links::execute_request& call,
                                                          connection_state& connection) {
    if (auto refusal = check_primary(connection.open_transaction->term())) {
        connection.open_transaction.reset();
        return std::move(*refusal);
    }
    execute_answer answer;
    answer.results = connection.open_transaction->run(m_rows, call.statements);
    answer.position = applied_position();
    return answer;
}

links::backend_result database_server::handle_statement(const links::begin_request& call,
                                                        connection_state& connection,
                                                        clock::time_point /*now*/) {
    if (connection.open_transaction) {
        return refuse(refusal_reason::malformed,
                      "a transaction is already open on this connection");
    }
    if (auto refusal = check_primary(call.term)) {
        return std::move(*refusal);
    }
    connection.open_transaction.emplace(call.term);
    return accepted_answer{m_term};
}

links::backend_result database_server::handle_statement(const links::commit_request& call,
                                                        connection_state& connection,
                                                        clock::time_point now) {
    const auto open_transaction = std::exchange(connection.open_transaction, std::nullopt);
    if (auto refusal = check_primary(call.term)) {
        return std::move(*refusal);
    }
    if (auto recorded = find_recorded_result(call.request_id)) {
        return std::move(*recorded);
    }
    if (!open_transaction || open_transaction->term() != call.term) {
        return refuse(refusal_reason::malformed, "no transaction of term " +
                                                     std::to_string(call.term) +
                                                     " is open on this connection");
    }
    if (!open_transaction->can_commit(m_rows)) {
        return refuse(refusal_reason::conflict,
                      "another transaction changed a row that this one uses");
    }
    execute_answer answer;
    if (open_transaction->writes().empty()) {
        answer.position = m_log.last_position();
        return answer;
    }
    if (text_bytes(open_transaction->writes(), {}) > max_entry_bytes) {
        return refuse(refusal_reason::malformed, "transaction exceeds the limit of " +
                                                     std::to_string(max_entry_bytes) + " bytes");
    }
    answer.position = append(open_transaction->writes(), call.request_id, {}, now);
    return answer;
}

links::backend_result database_server::handle_statement(const links::rollback_request& /*call*/,
                                                        connection_state& connection,
                                                        clock::time_point /*now*/) {
    connection.open_transaction.reset();
    return accepted_answer{m_term};
}

links::backend_result database_server::handle_statement(const links::lookup_request& call,
                                                        connection_state& /*connection*/,
                                                        clock::time_point /*now*/) {
    if (auto refusal = check_primary(call.term)) {
        return std::move(*refusal);
    }
    links::lookup_answer found;
    if (const log_entry* entry = m_log.find_request(call.request_id)) {
        found.found = true;
        found.results = entry->results;
    }
    found.position = m_log.last_position();
    return found;
}

std::optional<links::backend_result> database_server::check_primary(std::uint64_t term) const {
    if (term < m_term) {
        return refuse(refusal_reason::stale_term, "term " + std::to_string(term) +
                                                      " is stale; accepted term is " +
                                                      std::to_string(m_term));
    }
    if (!m_is_primary || term != m_term) {
        return refuse(refusal_reason::not_primary,
                      "server is not primary at term " + std::to_string(term));
    }
    return std::nullopt;
}

std::optional<links::backend_result>
database_server::find_recorded_result(const std::string& request_id) const {
    const log_entry* entry = request_id.empty() ? nullptr : m_log.find_request(request_id);
    if (entry == nullptr) {
        return std::nullopt;
    }
    execute_answer answer;
    answer.results = entry->results;
    answer.position = m_log.last_position();
    answer.repeated = true;
    return answer;
}

links::backend_result database_server::refuse(refusal_reason reason, std::string message) const {
    return refusal_answer{reason, m_term, std::move(message)};
}

log_position database_server::append(std::vector<statement> statements, std::string request_id,
                                     std::vector<statement_result> results, clock::time_point now) {
    const log_position position(m_term, m_log.last_position().offset() + 1);
    m_log.append({position, std::move(statements), std::move(request_id), std::move(results)});
    apply_up_to(position.offset());
    if (m_settings.ship_delay > milliseconds(0)) {
        m_shipments.push_back({position.offset(), now + m_settings.ship_delay});
    }
    ++m_change_count;
    return position;
}

// Changes of term and primary

std::optional<links::backend_result>
database_server::handle_control(const links::fence_request& call, connection_state& /*connection*/,
                                clock::time_point /*now*/) {
    if (call.promoter.empty()) {
        return refuse(refusal_reason::malformed, "fence request names no promoter");
    }
    if (call.term < m_term || (call.term == m_term && call.promoter != m_promoter)) {
        return refuse(refusal_reason::stale_term,
                      "term " + std::to_string(call.term) +
                          " is stale or accepted from another promoter; accepted term is " +
                          std::to_string(m_term));
    }
    if (call.term > m_term) {
        become_replica(call.term, call.promoter);
    }
    return links::fence_answer{m_term, m_log.last_position()};
}

std::optional<links::backend_result>
database_server::handle_control(const links::promote_request& call,
                                connection_state& /*connection*/, clock::time_point now) {
    if (call.term != m_term || call.promoter != m_promoter || m_following) {
        return refuse(refusal_reason::stale_term,
                      "term " + std::to_string(call.term) +
                          " is not accepted from this promoter, or the server follows a primary");
    }
    if (!m_is_primary) {
        become_primary(call.members, now);
    }
    return accepted_answer{m_term};
}

std::optional<links::backend_result>
database_server::handle_control(const links::follow_request& call, connection_state& /*connection*/,
                                clock::time_point /*now*/) {
    if (call.term < m_term) {
        return refuse(refusal_reason::stale_term, "term " + std::to_string(call.term) +
                                                      " is stale; accepted term is " +
                                                      std::to_string(m_term));
    }
    if (call.term == m_term && m_is_primary) {
        return call.primary.server == m_settings.self
                   ? result(accepted_answer{m_term})
                   : refuse(refusal_reason::malformed,
                            "server is primary at term " + std::to_string(m_term));
    }
    if (call.primary.server == m_settings.self) {
        return refuse(refusal_reason::malformed, "server cannot follow itself");
    }
    if (call.term > m_term) {
        become_replica(call.term, {});
    }
    if (m_following != call) {
        m_following = call;
        ++m_change_count;
    }
    return accepted_answer{m_term};
}

std::optional<links::backend_result>
database_server::handle_control(const links::confirm_request& call,
                                connection_state& /*connection*/, clock::time_point /*now*/) {
    if (call.position.term() < m_term) {
        return refuse(refusal_reason::stale_term, "term " + std::to_string(call.position.term()) +
                                                      " is stale; accepted term is " +
                                                      std::to_string(m_term));
    }
    if (call.position.term() == m_term && m_log.contains(call.position)) {
        return confirm_answer{true};
    }
    return std::nullopt;
}

std::optional<links::backend_result>
database_server::handle_control(const links::probe_request& /*call*/,
                                connection_state& /*connection*/, clock::time_point now) {
    links::probe_answer state;
    state.server = m_settings.self;
    state.term = m_term;
    state.role = m_is_primary ? machines::server_role::primary : machines::server_role::replica;
    if (m_is_primary) {
        state.primary = m_settings.self;
    } else if (m_following) {
        state.primary = m_following->primary.server;
    }
    state.held = m_log.last_position();
    state.applied = applied_position();
    state.age = age(now);
    state.connections = m_connections;
    return state;
}

void database_server::become_replica(std::uint64_t term, std::string promoter) {
    m_term = term;
    m_promoter = std::move(promoter);
    m_is_primary = false;
    m_following.reset();
    m_shipments.clear();
    m_freshness.discard_pending();
    ++m_change_count;
}

void database_server::become_primary(std::vector<links::member_address> members,
                                     clock::time_point now) {
    m_is_primary = true;
    m_following.reset();
    m_contacts.reset(std::move(members), m_settings.self);
    m_freshness.discard_pending();
    m_schedule.truncate(0);
    // An empty entry of the new term: a position can be confirmed only at the server's current
    // term, so confirming this entry confirms all entries of earlier terms.
    append({}, {}, {}, now);
}

// Replication, as primary

std::optional<links::backend_result>
database_server::handle_control(const links::fetch_request& call, connection_state& connection,
                                clock::time_point now) {
    if (auto refusal = check_primary(call.term)) {
        return refusal;
    }
    // The request may have waited in the socket buffer while this process was stopped. It only
    // proves that the replica was at this term after the previous answer, so the contact is
    // recorded with the time of that answer.
    if (const auto proven = std::exchange(connection.fetch_answered_at, std::nullopt)) {
        m_contacts.record_contact(call.replica, *proven);
    }
    const std::uint64_t last = last_shippable_offset(now);
    if (m_log.contains(call.from) && call.from.offset() >= last) {
        return std::nullopt;
    }
    connection.fetch_answered_at = now;
    return entries_after(call.from, now);
}

links::fetch_answer database_server::entries_after(log_position from, clock::time_point now) const {
    fetch_answer fetched;
    fetched.last = m_log.last_position();
    fetched.age = age(now);
    if (!m_log.contains(from)) {
        const log_position common = m_log.last_position_up_to_term(from.term());
        const auto offset = std::min(common.offset(), from.offset() - 1);
        fetched.truncate_to = offset == 0 ? log_position() : m_log.at(offset).position;
        return fetched;
    }
    const std::uint64_t last = last_shippable_offset(now);
    std::size_t bytes = 0;
    for (auto offset = from.offset() + 1; offset <= last; ++offset) {
        const log_entry& entry = m_log.at(offset);
        bytes += text_bytes(entry.statements, entry.results);
        const bool full = fetched.entries.size() == max_fetched_entries ||
                          (bytes > max_fetched_bytes && !fetched.entries.empty());
        if (full) {
            break;
        }
        fetched.entries.push_back(entry);
    }
    return fetched;
}

std::uint64_t database_server::last_shippable_offset(clock::time_point now) const {
    for (const shipment& waiting : m_shipments) {
        if (waiting.due > now) {
            return waiting.offset - 1;
        }
    }
    return m_log.last_position().offset();
}

// Replication, as replica

links::fetch_request database_server::next_fetch(milliseconds wait) const {
    return {m_term, m_settings.self, m_log.last_position(), wait};
}

void database_server::handle_fetch_answer(const links::follow_request& source,
                                          links::fetch_answer answer, clock::time_point sent_at,
                                          clock::time_point now) {
    if (m_following != source || m_term != source.term) {
        return;
    }
    if (answer.truncate_to) {
        truncate_after(answer.truncate_to->offset());
        return;
    }
    for (log_entry& entry : answer.entries) {
        if (entry.position.offset() != m_log.last_position().offset() + 1) {
            return;
        }
        m_log.append(std::move(entry));
    }
    if (!answer.entries.empty()) {
        m_schedule.add_batch(m_log.last_position().offset(), now);
        ++m_change_count;
    }
    if (answer.age != milliseconds::max()) {
        m_freshness.add_fetch(answer.last.offset(), sent_at - answer.age);
    }
    advance(now);
}

void database_server::truncate_after(std::uint64_t offset) {
    m_rows.truncate(offset, m_log);
    m_schedule.truncate(offset);
    m_freshness.discard_pending();
    m_log.truncate(offset);
    ++m_change_count;
}

void database_server::advance(clock::time_point now) {
    while (!m_shipments.empty() && m_shipments.front().due <= now) {
        m_shipments.pop_front();
        ++m_change_count;
    }
    if (const auto offset = m_schedule.take_due(now)) {
        apply_up_to(*offset);
    }
    m_freshness.on_applied(m_rows.applied_offset());
}

void database_server::apply_up_to(std::uint64_t offset) {
    while (m_rows.applied_offset() < offset) {
        m_rows.apply(m_log.at(m_rows.applied_offset() + 1));
    }
}

std::optional<clock::time_point> database_server::next_event() const {
    auto next = m_schedule.next_due();
    if (!m_shipments.empty()) {
        next = std::min(next.value_or(m_shipments.front().due), m_shipments.front().due);
    }
    return next;
}

log_position database_server::applied_position() const {
    const std::uint64_t offset = m_rows.applied_offset();
    return offset == 0 ? log_position() : m_log.at(offset).position;
}

milliseconds database_server::age(clock::time_point now) const {
    const auto as_of = m_is_primary ? m_contacts.majority_contact_time(now) : m_freshness.as_of();
    if (!as_of) {
        return milliseconds::max();
    }
    // Rounded up, because the age is an upper bound.
    return std::chrono::ceil<milliseconds>(now - *as_of);
}

} // namespace oriole::standins

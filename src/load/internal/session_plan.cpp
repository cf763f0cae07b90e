#include "load/session_plan.h"

#include <algorithm>
#include <utility>

namespace oriole::load {
namespace {

using machines::statement_kind;

/// The number is small so that a session soon reads a row that it wrote.
constexpr std::size_t rows_per_session = 4;

/// The maximum number of statements in one request.
constexpr std::size_t statements_per_request = 64;

} // namespace

session_plan::session_plan(std::string prefix, std::size_t session)
    : m_prefix(std::move(prefix) + ".s" + std::to_string(session)) {
    for (std::size_t i = 0; i < rows_per_session; ++i) {
        m_rows.push_back(new_row("row"));
    }
    m_counter = new_row("counter");
}

planned_request session_plan::next(request_kind kind, std::size_t rows, random_source& random) {
    planned_request request{new_id(), kind, {}};
    const std::size_t first = random.next() % m_rows.size();
    if (kind == request_kind::write) {
        const std::string value = m_prefix + ".v" + std::to_string(++m_values_made);
        request.statements.push_back({statement_kind::put, m_rows[first], value, 0});
        m_written.insert(m_rows[first]);
        return request;
    }
    if (kind == request_kind::increment) {
        request.statements.push_back({statement_kind::add, m_counter, "", 1});
        m_written.insert(m_counter);
        return request;
    }
    for (std::size_t i = 0; i < std::min(rows, m_rows.size()); ++i) {
        const auto& row = m_rows[(first + i) % m_rows.size()];
        request.statements.push_back({statement_kind::get, row, "", 0});
    }
    return request;
}

void session_plan::replace_uncertain_rows(const recorded_request& request) {
    if (!request.writes() || (request.result && request.result != outcome::unknown)) {
        return;
    }
    for (const auto& item : request.statements) {
        std::replace(m_rows.begin(), m_rows.end(), item.row, new_row("row"));
        if (item.row == m_counter) {
            m_counter = new_row("counter");
        }
    }
}

std::vector<planned_request> session_plan::final_reads() {
    std::vector<planned_request> requests;
    for (const auto& row : m_written) {
        if (requests.empty() || requests.back().statements.size() == statements_per_request) {
            requests.push_back({new_id(), request_kind::write, {}});
        }
        requests.back().statements.push_back({statement_kind::get, row, "", 0});
    }
    return requests;
}

std::string session_plan::new_row(const std::string& kind) {
    return m_prefix + "." + kind + std::to_string(++m_rows_made);
}

std::string session_plan::new_id() {
    return m_prefix + ".q" + std::to_string(++m_requests_made);
}

} // namespace oriole::load

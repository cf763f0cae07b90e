#pragma once

#include "load/types/planned_request.h"
#include "load/types/recorded_request.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace oriole::load {

/// Chooses the rows and statements of the requests of one session. Contains no network code. Not
/// thread-safe.
class session_plan {
public:
    /// `prefix` begins the names of all rows and requests and differs between runs.
    session_plan(std::string prefix, std::size_t session);

    /// The next request; `rows` is the number of rows that a read asks for.
    [[nodiscard]] planned_request next(request_kind kind, std::size_t rows, random_source& random);

    /// If `request` is a write with an unknown outcome, replaces its rows by new ones: it may take
    /// effect after later writes, so the expected values of its rows would not be known.
    void replace_uncertain_rows(const recorded_request& request);

    /// Requests that read every written row after the load, for the history checker.
    [[nodiscard]] std::vector<planned_request> final_reads();

private:
    std::string new_row(const std::string& kind);
    std::string new_id();

    std::string m_prefix;
    std::size_t m_rows_made = 0;
    std::size_t m_values_made = 0;
    std::size_t m_requests_made = 0;
    std::vector<std::string> m_rows;
    std::string m_counter;
    std::set<std::string> m_written;
};

} // namespace oriole::load

#pragma once

#include "load/types/recorded_history.h"

#include <map>
#include <string>
#include <vector>

namespace oriole::load {

/// The puts and adds of each row in the order in which the session sent them. Holds pointers into
/// the history, which outlives the index.
class row_index {
public:
    explicit row_index(const recorded_history& history);

    [[nodiscard]] const std::vector<const recorded_request*>& puts(const std::string& row) const;
    [[nodiscard]] const std::vector<const recorded_request*>& adds(const std::string& row) const;

    /// The last put to `row` that had been acknowledged when `read` was sent; null if there is
    /// none. For reads after the load, puts that a lookup resolved as done count as acknowledged.
    [[nodiscard]] const recorded_request* last_acknowledged(const std::string& row,
                                                            const recorded_request& read) const;

    /// The request that put `value` into `row`; null if there is none.
    [[nodiscard]] const recorded_request* writer(const std::string& row,
                                                 const std::string& value) const;

private:
    using requests_by_row = std::map<std::string, std::vector<const recorded_request*>>;

    static const std::vector<const recorded_request*>& find(const requests_by_row& rows,
                                                            const std::string& row);

    requests_by_row m_puts;
    requests_by_row m_adds;
};

/// The value that the request `put` writes to `row`; empty if it does not write to it.
[[nodiscard]] std::string written_value(const recorded_request& put, const std::string& row);

} // namespace oriole::load

#include "load/internal/row_index.h"

namespace oriole::load {

using machines::statement_kind;

row_index::row_index(const recorded_history& history) {
    for (const auto& request : history.requests) {
        for (const auto& item : request.statements) {
            if (item.kind == statement_kind::put) {
                m_puts[item.row].push_back(&request);
            }
            if (item.kind == statement_kind::add) {
                m_adds[item.row].push_back(&request);
            }
        }
    }
}

const std::vector<const recorded_request*>& row_index::puts(const std::string& row) const {
    return find(m_puts, row);
}

const std::vector<const recorded_request*>& row_index::adds(const std::string& row) const {
    return find(m_adds, row);
}

const recorded_request* row_index::last_acknowledged(const std::string& row,
                                                     const recorded_request& read) const {
    const bool after_load = read.phase == request_phase::check;
    const recorded_request* last = nullptr;
    for (const auto* put : puts(row)) {
        const bool acknowledged_before_read = put->done() && put->answered <= read.sent;
        const bool resolved_as_done = after_load && put->final_outcome() == outcome::done;
        if (acknowledged_before_read || resolved_as_done) {
            last = put;
        }
    }
    return last;
}

const recorded_request* row_index::writer(const std::string& row, const std::string& value) const {
    for (const auto* put : puts(row)) {
        if (written_value(*put, row) == value) {
            return put;
        }
    }
    return nullptr;
}

const std::vector<const recorded_request*>& row_index::find(const requests_by_row& rows,
                                                            const std::string& row) {
    static const std::vector<const recorded_request*> none;
    const auto found = rows.find(row);
    return found == rows.end() ? none : found->second;
}

std::string written_value(const recorded_request& put, const std::string& row) {
    for (const auto& item : put.statements) {
        if (item.kind == statement_kind::put && item.row == row) {
            return item.value;
        }
    }
    return {};
}

} // namespace oriole::load

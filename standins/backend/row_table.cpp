#include "row_table.h"

#include <algorithm>
#include <charconv>

namespace oriole::standins {

std::optional<std::string> add_to_decimal(const std::string* value, std::int64_t amount) {
    std::int64_t number = 0;
    if (value != nullptr) {
        const char* end = value->data() + value->size();
        const auto parsed = std::from_chars(value->data(), end, number);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            return std::nullopt;
        }
    }
    const auto sum = static_cast<std::uint64_t>(number) + static_cast<std::uint64_t>(amount);
    return std::to_string(static_cast<std::int64_t>(sum));
}

const stored_row* row_table::find(const std::string& row) const {
    const auto found = m_rows.find(row);
    return found == m_rows.end() ? nullptr : &found->second;
}

std::uint64_t row_table::version(const std::string& row) const {
    const stored_row* found = find(row);
    return found == nullptr ? 0 : found->version;
}

void row_table::apply(const log_entry& entry) {
    ++m_applied;
    auto& undo = m_undo.emplace_back();
    for (const statement& written : entry.statements) {
        write(written, undo);
    }
    if (m_undo.size() > max_undo_entries) {
        m_undo.pop_front();
    }
}

void row_table::write(const statement& written, std::vector<undo_step>& undo) {
    const auto [position, created] = m_rows.try_emplace(written.row);
    stored_row& row = position->second;
    undo.push_back({written.row, created ? std::nullopt : std::optional(row)});
    if (written.kind == machines::statement_kind::put) {
        row.value = written.value;
    } else {
        // The primary rejects statements that add to a non-numeric value, so the addition succeeds.
        row.value =
            add_to_decimal(created ? nullptr : &row.value, written.amount).value_or(row.value);
    }
    row.version = m_applied;
}

void row_table::truncate(std::uint64_t offset, const entry_log& log) {
    if (m_applied <= offset) {
        return;
    }
    if (m_applied - offset <= m_undo.size()) {
        while (m_applied > offset) {
            undo_last_entry();
        }
        return;
    }
    *this = row_table();
    while (m_applied < offset) {
        apply(log.at(m_applied + 1));
    }
}

void row_table::undo_last_entry() {
    auto& steps = m_undo.back();
    std::for_each(steps.rbegin(), steps.rend(), [this](undo_step& step) {
        if (step.previous) {
            m_rows[step.row] = std::move(*step.previous);
        } else {
            m_rows.erase(step.row);
        }
    });
    m_undo.pop_back();
    --m_applied;
}

} // namespace oriole::standins

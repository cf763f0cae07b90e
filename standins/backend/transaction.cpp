#include "transaction.h"

#include <algorithm>

namespace oriole::standins {

std::vector<statement_result> transaction::run(const row_table& rows,
                                               const std::vector<statement>& statements) {
    std::vector<statement_result> results;
    results.reserve(statements.size());
    for (const statement& item : statements) {
        results.push_back(run_statement(rows, item));
    }
    return results;
}

statement_result transaction::run_statement(const row_table& rows, const statement& item) {
    m_seen_versions.try_emplace(item.row, rows.version(item.row));
    const auto own = m_written_values.find(item.row);
    const stored_row* stored = rows.find(item.row);
    const std::string* value = stored == nullptr ? nullptr : &stored->value;
    if (own != m_written_values.end()) {
        value = &own->second;
    }
    if (!item.writes()) {
        return {item.row, value == nullptr ? std::nullopt : std::optional(*value)};
    }
    std::optional<std::string> next = item.value;
    if (item.kind == machines::statement_kind::add) {
        next = add_to_decimal(value, item.amount);
    }
    if (!next) {
        throw not_a_number("cannot add to row " + item.row + ": its value is not an integer");
    }
    m_writes.push_back(item);
    m_written_values.insert_or_assign(item.row, *next);
    return {item.row, std::move(next)};
}

bool transaction::can_commit(const row_table& rows) const {
    return std::all_of(m_seen_versions.begin(), m_seen_versions.end(), [&rows](const auto& seen) {
        return rows.version(seen.first) == seen.second;
    });
}

} // namespace oriole::standins

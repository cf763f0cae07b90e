#pragma once

#include "base/errors.h"
#include "row_table.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriole::standins {

/// Thrown when a statement adds to a row whose value is not an integer.
class not_a_number : public error {
public:
    using error::error;
};

/// Statements that take effect atomically. Reads see the transaction's own writes. The versions of
/// all rows read or written are checked at commit (optimistic concurrency control): of two
/// transactions that overlap, only the first to commit succeeds. Not thread-safe.
class transaction {
public:
    explicit transaction(std::uint64_t term) : m_term(term) {}

    /// The term in which the transaction was opened and must be committed.
    [[nodiscard]] std::uint64_t term() const noexcept { return m_term; }

    /// Throws not_a_number; the transaction must be discarded then.
    [[nodiscard]] std::vector<statement_result> run(const row_table& rows,
                                                    const std::vector<statement>& statements);

    /// Whether no other transaction has changed a row that this one read or wrote.
    [[nodiscard]] bool can_commit(const row_table& rows) const;

    /// The writing statements so far, in order.
    [[nodiscard]] const std::vector<statement>& writes() const noexcept { return m_writes; }

private:
    [[nodiscard]] statement_result run_statement(const row_table& rows, const statement& item);

    std::uint64_t m_term;
    std::unordered_map<std::string, std::uint64_t> m_seen_versions;
    std::unordered_map<std::string, std::string> m_written_values;
    std::vector<statement> m_writes;
};

} // namespace oriole::standins

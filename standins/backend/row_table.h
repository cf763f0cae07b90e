#pragma once

#include "entry_log.h"
#include "links/types/backend_messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriole::standins {

using links::statement;
using links::statement_result;

struct stored_row {
    std::string value;
    std::uint64_t version = 0; ///< offset of the log entry that last wrote the row

    friend bool operator==(const stored_row&, const stored_row&) = default;
};

/// `value` plus `amount` as decimal text. A null `value` (missing row) counts as 0, and the sum
/// wraps around on overflow. None when `value` is not a decimal integer.
[[nodiscard]] std::optional<std::string> add_to_decimal(const std::string* value,
                                                        std::int64_t amount);

/// The rows of the database after the last applied log entry. Not thread-safe.
class row_table {
public:
    /// Offset of the last applied entry; 0 before the first.
    [[nodiscard]] std::uint64_t applied_offset() const noexcept { return m_applied; }

    /// Null when the row does not exist.
    [[nodiscard]] const stored_row* find(const std::string& row) const;

    /// Offset of the entry that last wrote the row; 0 when the row does not exist.
    [[nodiscard]] std::uint64_t version(const std::string& row) const;

    /// Precondition: `entry` is the next one after the last applied entry.
    void apply(const log_entry& entry);

    /// Reverts the entries after `offset`. Precondition: `log` still contains them.
    void truncate(std::uint64_t offset, const entry_log& log);

private:
    /// Bounds the memory of undo records. Divergent log tails are usually short; a longer one is
    /// reverted by reapplying the whole log from its start.
    static constexpr std::size_t max_undo_entries = 16384;

    struct undo_step {
        std::string row;
        std::optional<stored_row> previous;
    };

    void write(const statement& written, std::vector<undo_step>& undo);
    void undo_last_entry();

    std::unordered_map<std::string, stored_row> m_rows;
    std::uint64_t m_applied = 0;
    std::deque<std::vector<undo_step>> m_undo; ///< undo records by entry, newest at the back
};

} // namespace oriole::standins

#pragma once

#include "sessions/types/answer_code.h"

namespace oriole::entry {

/// What is known of a statement that has no result yet.
struct unfinished_statement {
    bool starts_operation = false;   ///< whether the statement counts against the rate limit
    bool may_have_been_sent = false; ///< whether a server may have received it
    bool in_transaction = false;
    bool commits = false;
    bool writes = false;
    bool transaction_wrote = false; ///< whether an earlier statement of the transaction wrote

    friend bool operator==(const unfinished_statement&, const unfinished_statement&) = default;
};

/// Returns the answer code for a statement that is answered without its result. The code guarantees
/// that no change is kept only where no server can have committed one. Precondition: a transaction
/// that has not been committed is rolled back after the answer.
[[nodiscard]] sessions::answer_code
code_without_result(const unfinished_statement& statement) noexcept;

} // namespace oriole::entry

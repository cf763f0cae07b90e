#include "entry/internal/unfinished_statement.h"

namespace oriole::entry {

using sessions::answer_code;

answer_code code_without_result(const unfinished_statement& statement) noexcept {
    if (!statement.may_have_been_sent) {
        return statement.starts_operation ? answer_code::busy : answer_code::aborted;
    }
    const bool may_be_committed = statement.in_transaction
                                      ? statement.commits && statement.transaction_wrote
                                      : statement.writes;
    return may_be_committed ? answer_code::in_doubt : answer_code::aborted;
}

} // namespace oriole::entry

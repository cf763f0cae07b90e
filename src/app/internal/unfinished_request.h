#pragma once

#include "links/types/caller_messages.h"

namespace oriole::app {

/// Returns the answer to a request that is answered without its result. It says not-run only where
/// no server can have committed a change. Precondition: a transaction that has not been committed
/// is rolled back after the answer. Thread-safe.
[[nodiscard]] links::caller_answer answer_without_result(const links::unfinished_request& request);

} // namespace oriole::app

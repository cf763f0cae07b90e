#pragma once

namespace oriole::scheduling {

/// How a server answered a statement.
enum class attempt_result {
    served,
    refused, ///< as busy, without running the statement
    failed   ///< an error of the server, or no answer
};

} // namespace oriole::scheduling

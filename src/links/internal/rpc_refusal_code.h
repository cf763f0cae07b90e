#pragma once

namespace oriole {
namespace links {

/// JSON-RPC error code of a call that was refused before it had any effect. Of the range that the
/// specification leaves to implementations. The internal error code promises nothing.
constexpr int rpc_refusal_code = -32001;

} // namespace links
} // namespace oriole

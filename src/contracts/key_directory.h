#pragma once

#include "base/types/name.h"
#include "contracts/types/authorization.h"

#include <optional>
#include <string_view>

namespace oriole::contracts {

/// Maps access keys to client accounts and checks which services a key may use. Immutable and
/// shared between threads. The time of a lookup depends on the length of the presented key, not on
/// its content.
class key_directory {
public:
    virtual ~key_directory() = default;

    /// Checks the key without a service, as for a call on an open transaction. Can be refused as
    /// no_key, unknown_key or withdrawn_key.
    [[nodiscard]] virtual authorization
    authenticate(std::optional<std::string_view> presented_key) const = 0;

    /// Checks that the key is valid and may use the service `wanted`. A service that is open to all
    /// runs without a key, as anonymous; a key that is presented there must still be valid, so that
    /// a caller with a mistyped key gets an error. Without a valid key, an unknown service is
    /// refused as no_key or unknown_key, so that unauthenticated callers cannot find out which
    /// services exist.
    [[nodiscard]] virtual authorization authorize(std::optional<std::string_view> presented_key,
                                                  const service_name& wanted) const = 0;
};

} // namespace oriole::contracts

#pragma once

#include <array>
#include <compare>
#include <cstdint>

namespace oriole::contracts {

/// BLAKE2b-256 digest of an access key's text. The text itself is never stored.
using key_digest = std::array<std::uint8_t, 32>;

} // namespace oriole::contracts

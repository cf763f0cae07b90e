#pragma once

#include "contracts/types/key_digest.h"

#include <optional>
#include <string>
#include <string_view>

namespace oriole::contracts {

/// Computes the BLAKE2b-256 digest of an access key's text. Thread-safe. Takes the same time for
/// all texts of one length. Throws oriole::error if libsodium cannot be initialised.
[[nodiscard]] key_digest digest_of_key(std::string_view key_text);

/// Encodes a digest as 64 lower-case hexadecimal digits. Thread-safe.
[[nodiscard]] std::string to_hex(const key_digest& digest);

/// Decodes a digest. Returns none unless `text` is exactly 64 lower-case hexadecimal digits, so
/// that a digest has only one spelling in the configuration. Thread-safe.
[[nodiscard]] std::optional<key_digest> parse_key_digest(std::string_view text);

/// Compares two digests in constant time. Thread-safe.
[[nodiscard]] bool equal_in_constant_time(const key_digest& left, const key_digest& right);

} // namespace oriole::contracts

#pragma once

#include <cstdint>
#include <string>

namespace oriole::zones {

/// A hash of the pair of `key` and `member`, identical in every process and release. Thread-safe.
[[nodiscard]] std::uint64_t rendezvous_hash(const std::string& key, const std::string& member);

} // namespace oriole::zones

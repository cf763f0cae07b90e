#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace oriole::standins {

/// The faults that a proxy injects into its connections, as set at the control address.
struct fault_settings {
    std::chrono::milliseconds delay{0};  ///< of each chunk of the stream; order is preserved
    std::chrono::milliseconds jitter{0}; ///< upper limit of a random addition to the delay
    bool drop_to_target = false;         ///< discard bytes but keep connections open
    bool drop_to_client = false;
    bool cut = false; ///< close all connections and refuse new ones
    /// Close a connection after this many further bytes to its client.
    std::optional<std::uint64_t> truncate_after_bytes;
    std::uint64_t seed = 1; ///< of the random jitter

    friend bool operator==(const fault_settings&, const fault_settings&) = default;
};

/// Parses a JSON object with the keys "delay_ms", "jitter_ms", "drop_to_target", "drop_to_client",
/// "cut", "truncate_after_bytes" and "seed". A missing key disables its fault. Throws
/// oriole::invalid_input.
[[nodiscard]] fault_settings read_fault_settings(const std::string& json);

[[nodiscard]] std::string write_fault_settings(const fault_settings& settings);

} // namespace oriole::standins

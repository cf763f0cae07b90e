#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oriole::app {

/// The fields of the platform object config/head that are needed to transfer a configuration.
struct config_head {
    std::uint64_t generation = 0;
    std::string digest;               ///< of the whole configuration
    std::vector<std::string> buckets; ///< digest of each bucket's chunk; empty if it has no objects

    friend bool operator==(const config_head&, const config_head&) = default;
};

/// A complete configuration in encoded form. There is a chunk for every non-empty bucket of the
/// head, and all digests match.
struct configuration {
    config_head head;
    std::string head_text;
    std::map<std::string, std::string> chunks; ///< chunk texts, keyed by digest

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Decodes the parts of a configuration that are needed to transfer it. Thread-safe.
class config_codec {
public:
    virtual ~config_codec() = default;

    /// Throws oriole::error when the text is not a valid head or the digest of the whole does not
    /// match the digests of the buckets.
    [[nodiscard]] virtual config_head read_head(const std::string& text) const = 0;

    /// Computes the digest of a chunk's text, in the same form as config_head::buckets.
    [[nodiscard]] virtual std::string chunk_digest(const std::string& text) const = 0;
};

/// Notified of each new current configuration, on the control thread and with a higher generation
/// each time.
class config_listener {
public:
    virtual ~config_listener() = default;

    virtual void configuration_changed(const configuration& current) = 0;
};

} // namespace oriole::app

#pragma once

#include "app/internal/configuration.h"
#include "site/types/site_objects.h"

namespace oriole::app {

/// Decodes configurations with the site module's codec. Thread-safe.
class site_config_codec final : public config_codec {
public:
    [[nodiscard]] config_head read_head(const std::string& text) const override;
    [[nodiscard]] std::string chunk_digest(const std::string& text) const override;

    /// Throws site::malformed_site when a chunk is not a valid encoding of its bucket.
    [[nodiscard]] static site::site_objects read_objects(const configuration& complete);
};

} // namespace oriole::app

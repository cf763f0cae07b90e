#pragma once

#include "app/internal/configuration.h"
#include "base/errors.h"

#include <functional>
#include <sstream>
#include <string>

namespace oriole::app {

/// Test double in which a head is the text "GENERATION DIGEST CHUNK-DIGEST...".
class text_config_codec final : public config_codec {
public:
    [[nodiscard]] config_head read_head(const std::string& text) const override {
        std::istringstream in(text);
        config_head head;
        if (!(in >> head.generation >> head.digest)) {
            throw error("text does not begin with a generation and a digest");
        }
        for (std::string bucket; in >> bucket;) {
            head.buckets.push_back(bucket);
        }
        return head;
    }

    [[nodiscard]] std::string chunk_digest(const std::string& text) const override {
        return std::to_string(std::hash<std::string>{}(text));
    }

    [[nodiscard]] std::string make_head(std::uint64_t generation,
                                        const std::vector<std::string>& chunks) const {
        std::string head = std::to_string(generation) + " whole-" + std::to_string(generation);
        for (const auto& chunk : chunks) {
            head += ' ';
            head += chunk_digest(chunk);
        }
        return head;
    }
};

} // namespace oriole::app

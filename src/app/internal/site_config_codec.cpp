#include "app/internal/site_config_codec.h"

#include "site/site_codec.h"

namespace oriole::app {

config_head site_config_codec::read_head(const std::string& text) const {
    const auto decoded = site::decode_head(text);
    config_head head;
    head.generation = decoded.number();
    head.digest = decoded.digest();
    head.buckets.assign(decoded.buckets().begin(), decoded.buckets().end());
    return head;
}

std::string site_config_codec::chunk_digest(const std::string& text) const {
    return site::digest_of(text);
}

site::site_objects site_config_codec::read_objects(const configuration& complete) {
    site::chunk_texts texts;
    for (std::size_t bucket = 0; bucket < site::bucket_count; ++bucket) {
        const std::string& digest = complete.head.buckets.at(bucket);
        if (!digest.empty()) {
            texts.at(bucket) = complete.chunks.at(digest);
        }
    }
    return site::decode_site(texts);
}

} // namespace oriole::app

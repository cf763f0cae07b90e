#pragma once

#include "base/errors.h"
#include "site/types/object_record.h"
#include "site/types/site_head.h"
#include "site/types/site_objects.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace oriole::site {

/// The text is not the canonical encoding of an object, chunk or head. It is corrupted or was
/// written by a program version with other fields.
class malformed_site : public error {
public:
    using error::error;
};

/// For each bucket, the canonical JSON of its objects; empty for a bucket without objects.
using chunk_texts = std::array<std::string, bucket_count>;

/// Canonical JSON of one object: a single line with sorted keys and values in the notation of the
/// configuration files. Equal objects have equal encodings. Thread-safe, like all functions in this
/// header.
[[nodiscard]] std::string encode_object(const object_record& object);

/// Accepts only output of encode_object. Throws malformed_site on any other input.
[[nodiscard]] object_record decode_object(std::string_view text);

/// The index of an object's bucket, less than bucket_count. It is the same on every machine and in
/// every program version.
[[nodiscard]] std::size_t bucket_of(const object_id& id);

[[nodiscard]] chunk_texts encode_site(const site_objects& objects);

/// Decodes the objects of one bucket. Throws malformed_site, also for an object that belongs to
/// another bucket.
[[nodiscard]] object_records decode_chunk(std::size_t bucket, std::string_view text);

/// Decodes the objects of all buckets. Throws malformed_site if a chunk is invalid, as decode_chunk
/// does.
[[nodiscard]] site_objects decode_site(const chunk_texts& chunks);

/// The BLAKE2b-256 hash in lower-case hexadecimal.
[[nodiscard]] std::string digest_of(std::string_view text);

/// The digests of the chunks; empty for an empty chunk.
[[nodiscard]] bucket_digests digests_of(const chunk_texts& chunks);

/// Digest over all bucket digests.
[[nodiscard]] std::string digest_of(const bucket_digests& buckets);

[[nodiscard]] std::string encode_head(const site_head& head);

/// Throws malformed_site, also when the overall digest does not match the bucket digests.
[[nodiscard]] site_head decode_head(std::string_view text);

} // namespace oriole::site

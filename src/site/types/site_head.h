#pragma once

#include "site/types/generation.h"

#include <array>
#include <cstddef>
#include <string>
#include <utility>

namespace oriole::site {

/// Number of buckets into which objects are divided by the hash of "KIND/NAME", so that a change
/// transfers only the buckets that it modifies. More buckets make the head larger, and every change
/// rewrites the head.
inline constexpr std::size_t bucket_count = 64;

/// For each bucket, the digest of its chunk (its encoded objects); empty for a bucket without
/// objects.
using bucket_digests = std::array<std::string, bucket_count>;

/// Metadata of a published configuration: its generation, the digests of its content, and who
/// published it. Immutable.
class site_head {
public:
    class builder;

    [[nodiscard]] generation number() const noexcept { return m_number; }

    /// The generation that this one replaced; lower than `number()` by more than one when the
    /// platform had lost generations that were in use.
    [[nodiscard]] generation previous() const noexcept { return m_previous; }

    /// The operation that published this generation. After a lost reply, tells whether the change
    /// took effect.
    [[nodiscard]] const std::string& operation_id() const noexcept { return m_operation_id; }

    [[nodiscard]] const bucket_digests& buckets() const noexcept { return m_buckets; }

    /// Digest over all bucket digests.
    [[nodiscard]] const std::string& digest() const noexcept { return m_digest; }

    [[nodiscard]] const std::string& author() const noexcept { return m_author; }

    /// The time of publication in UTC according to the author's clock; informational, never
    /// compared.
    [[nodiscard]] const std::string& time() const noexcept { return m_time; }

    [[nodiscard]] const std::string& comment() const noexcept { return m_comment; }

    friend auto operator<=>(const site_head&, const site_head&) = default;

private:
    site_head() = default;

    generation m_number = 0;
    generation m_previous = 0;
    std::string m_operation_id;
    bucket_digests m_buckets;
    std::string m_digest;
    std::string m_author;
    std::string m_time;
    std::string m_comment;
};

/// Builder of site_head. Not thread-safe.
class site_head::builder {
public:
    builder() = default;

    /// Starts from a copy of an existing head.
    explicit builder(site_head start) : m_value(std::move(start)) {}

    builder& number(generation value) {
        m_value.m_number = value;
        return *this;
    }

    builder& previous(generation value) {
        m_value.m_previous = value;
        return *this;
    }

    builder& operation_id(std::string value) {
        m_value.m_operation_id = std::move(value);
        return *this;
    }

    builder& buckets(bucket_digests value) {
        m_value.m_buckets = std::move(value);
        return *this;
    }

    builder& digest(std::string value) {
        m_value.m_digest = std::move(value);
        return *this;
    }

    builder& author(std::string value) {
        m_value.m_author = std::move(value);
        return *this;
    }

    builder& time(std::string value) {
        m_value.m_time = std::move(value);
        return *this;
    }

    builder& comment(std::string value) {
        m_value.m_comment = std::move(value);
        return *this;
    }

    /// Precondition: number, operation id, buckets and digest have been set.
    [[nodiscard]] site_head build() const { return m_value; }

private:
    site_head m_value;
};

} // namespace oriole::site

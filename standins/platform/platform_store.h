#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriole::standins {

/// Size limit of an object's value, in bytes.
inline constexpr std::size_t max_object_bytes = std::size_t{1} << 20U;

/// A stored object: its value and the metadata of its current version.
struct platform_object {
    std::string value;
    std::string operation;                 ///< id of the operation that wrote this version
    std::uint64_t version = 0;             ///< number of changes to the object, from 1
    std::uint64_t changed_at_revision = 0; ///< store revision of the object's last change

    friend bool operator==(const platform_object&, const platform_object&) = default;
};

/// A changed object: its path and current version.
struct platform_change {
    std::string path;
    std::uint64_t version = 0;

    friend bool operator==(const platform_change&, const platform_change&) = default;
};

enum class put_status { stored, conflict, too_large };

struct put_result {
    put_status status = put_status::stored;
    std::uint64_t version = 0; ///< current version of the object; 0 when it does not exist

    friend bool operator==(const put_result&, const put_result&) = default;
};

/// In-memory object store of the simulated platform. Not thread-safe.
class platform_store {
public:
    [[nodiscard]] std::optional<platform_object> find(const std::string& path) const;

    /// Stores `value` if the object's version is `expected_version` (0: the object must not exist).
    /// `operation` identifies the write.
    put_result put(const std::string& path, std::string value, std::uint64_t expected_version,
                   std::string operation);

    /// Objects whose path starts with `prefix` and that changed after revision `after`.
    [[nodiscard]] std::vector<platform_change> changes_after(const std::string& prefix,
                                                             std::uint64_t after) const;

    /// Total number of changes to the store.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }

private:
    std::map<std::string, platform_object> m_objects;
    std::uint64_t m_revision = 0;
};

} // namespace oriole::standins

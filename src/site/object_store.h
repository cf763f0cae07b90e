#pragma once

#include "base/errors.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriole::site {

/// The store did not reply in time or cannot be reached. A requested update may have taken effect.
class store_unreachable : public error {
public:
    using error::error;
};

/// A conditional update found a version other than the expected one.
class store_conflict : public error {
public:
    using error::error;
};

struct store_value {
    std::string value;
    std::uint64_t version = 0; ///< version of this object; never 0

    friend bool operator==(const store_value&, const store_value&) = default;
};

/// Versioned key-value store of the platform that holds the published configurations. All calls
/// block and may throw store_unreachable. Not thread-safe.
class object_store {
public:
    virtual ~object_store() = default;

    [[nodiscard]] virtual std::optional<store_value> get(const std::string& path) = 0;

    /// Stores `value` if the object has `expected_version` (0: the object must not exist) and
    /// returns the new version. Throws store_conflict otherwise. If the reply to a successful
    /// update was lost, an implementation may throw store_conflict or store_unreachable.
    virtual std::uint64_t put(const std::string& path, const std::string& value,
                              std::uint64_t expected_version, const std::string& operation_id) = 0;

    /// The paths of all objects that start with `prefix`, sorted.
    [[nodiscard]] virtual std::vector<std::string> list(const std::string& prefix) = 0;
};

} // namespace oriole::site

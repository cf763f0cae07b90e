#pragma once

#include "base/errors.h"
#include "base/types/endpoint.h"
#include "machines/types/instance.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriole::links {

/// The platform cannot be reached, did not answer in time or answered with an error. A requested
/// update may still have taken effect.
class platform_unreachable : public error {
public:
    using error::error;
};

/// A conditional update found a version other than the expected one.
class version_conflict : public error {
public:
    using error::error;
};

/// The value is larger than the platform accepts.
class object_too_large : public error {
public:
    using error::error;
};

struct stored_object {
    std::string value;
    std::uint64_t version = 0; ///< version of this object, at least 1

    friend bool operator==(const stored_object&, const stored_object&) = default;
};

struct object_change {
    std::string path;
    std::uint64_t version = 0;

    friend bool operator==(const object_change&, const object_change&) = default;
};

struct watch_result {
    std::uint64_t revision = 0; ///< revision of the whole store, from which to continue the watch
    std::vector<object_change> changes;

    friend bool operator==(const watch_result&, const watch_result&) = default;
};

/// Client of the platform's object and instance API. Calls run on the calling coroutine's executor.
/// Thread-safe. Every call can throw platform_unreachable.
class platform_link {
public:
    virtual ~platform_link() = default;

    [[nodiscard]] virtual boost::asio::awaitable<std::optional<stored_object>>
    get(std::string path) = 0;

    /// Stores `value` if the object has `expected_version` (0: does not exist) and returns the new
    /// version. When the answer is lost, the object is read back and its operation id compared with
    /// `operation_id`, so that an update that took effect is reported as successful. If another
    /// update has already overwritten it, version_conflict is thrown. Also throws object_too_large.
    [[nodiscard]] virtual boost::asio::awaitable<std::uint64_t> put(std::string path,
                                                                    std::string value,
                                                                    std::uint64_t expected_version,
                                                                    std::string operation_id) = 0;

    [[nodiscard]] virtual boost::asio::awaitable<std::vector<object_change>>
    list(std::string prefix) = 0;

    /// Waits until an object whose path starts with `prefix` changes after `revision`, at most for
    /// `wait`.
    [[nodiscard]] virtual boost::asio::awaitable<watch_result>
    watch(std::string prefix, std::uint64_t revision, std::chrono::milliseconds wait) = 0;

    [[nodiscard]] virtual boost::asio::awaitable<void> announce(machines::instance self) = 0;

    [[nodiscard]] virtual boost::asio::awaitable<void> withdraw(instance_id self) = 0;

    /// The platform's list of live and leaving instances, which may lag behind their actual state.
    [[nodiscard]] virtual boost::asio::awaitable<std::vector<machines::instance>> instances() = 0;
};

/// Opens a connection for each call. Precondition: the execution contexts of the calling
/// coroutines outlive the link.
[[nodiscard]] std::unique_ptr<platform_link> make_http_platform_link(endpoint platform);

} // namespace oriole::links

#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/types/endpoint.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace oriole::links {

/// The peer's handler refused the call or failed.
class peer_call_failed : public error {
public:
    using error::error;
};

/// Nothing listens at the peer's address: its process has ended.
class peer_not_running : public error {
public:
    using error::error;
};

/// The secret that the instances of a site share. Peers that do not know it are refused.
struct peer_secret {
    std::string text;

    friend bool operator==(const peer_secret&, const peer_secret&) = default;
};

/// Largest message between instances, in bytes. Leaves room for one stored object of the platform.
inline constexpr std::size_t max_peer_message_bytes = std::size_t{2} << 20U;

/// Calls other instances. Connections are kept and reused; one call at a time runs on each. Not
/// thread-safe; used on the executor of the control thread.
class peer_link {
public:
    virtual ~peer_link() = default;

    /// Calls `method` with the JSON object `params` and returns the JSON value of the result. A
    /// request that may have been sent is not repeated. Throws link_error when the peer cannot be
    /// reached, does not know the secret or is late; peer_not_running when its machine refuses the
    /// connection; peer_call_failed when it answers with an error.
    [[nodiscard]] virtual boost::asio::awaitable<std::string>
    call(endpoint peer, std::string method, std::string params, clock::time_point deadline) = 0;

    /// Bytes sent and received by this link, to account for the control traffic.
    [[nodiscard]] virtual std::size_t bytes() const noexcept = 0;
};

/// Answers calls of other instances. Runs on its executor's thread.
class peer_server {
public:
    /// Takes the params and returns the result, both as JSON text. What it throws is reported to
    /// the caller as peer_call_failed.
    using handler = std::function<boost::asio::awaitable<std::string>(std::string params)>;

    virtual ~peer_server() = default;

    /// Precondition: the method has no handler yet.
    virtual void add_method(const std::string& name, handler handle) = 0;

    /// Where the server listens.
    [[nodiscard]] virtual endpoint address() const = 0;

    /// Accepts no more connections and closes the open ones.
    virtual void stop() = 0;
};

[[nodiscard]] std::unique_ptr<peer_link> make_peer_link(boost::asio::any_io_executor executor,
                                                        const peer_secret& secret);

/// Listens at once. Throws boost::system::system_error when the address is not available.
[[nodiscard]] std::unique_ptr<peer_server> make_peer_server(boost::asio::any_io_executor executor,
                                                            const endpoint& listen,
                                                            const peer_secret& secret);

} // namespace oriole::links

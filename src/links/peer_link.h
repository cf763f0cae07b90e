#pragma once

#include "base/clock.h"
#include "base/errors.h"
#include "base/types/endpoint.h"
#include "links/backend_link.h"
#include "machines/resource_account.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace oriole::links {

/// The peer answered the call with an error. Its handler failed, perhaps after the call took
/// effect.
class peer_call_failed : public error {
public:
    using error::error;
};

/// The peer did not accept the call: its handler threw this exception, or it has no such method.
/// The call had no effect.
class peer_call_refused : public peer_call_failed {
public:
    using peer_call_failed::peer_call_failed;
};

/// The call is longer than max_peer_message_bytes. Nothing was sent, so it says nothing of the
/// peer.
class peer_call_too_long : public error {
public:
    using error::error;
};

/// The peer sent something else than the answer to the call, such as a repeat of an earlier answer.
/// The call may have been handled; the connection has been closed.
class unexpected_answer : public link_error {
public:
    explicit unexpected_answer(const std::string& what) : link_error(what, true) {}
};

/// The peer's machine refused the connection because no process listens on the address, so the
/// instance has ended.
class peer_not_running : public error {
public:
    using error::error;
};

/// The secret that all instances of a site share. Connections from peers without it are rejected.
struct peer_secret {
    std::string text;

    friend bool operator==(const peer_secret&, const peer_secret&) = default;
};

/// Largest message between instances, in bytes. Large enough for one object of the platform, and
/// for 1 MiB, the longest message of a caller or a backend server, of bytes that take two in UTF-8.
inline constexpr std::size_t max_peer_message_bytes = std::size_t{3} << 20U;

/// Largest first call on a connection, in bytes. Only the caller's first sealed frame proves that
/// its hello is not a replay; until then the server allocates no more than this.
inline constexpr std::size_t max_first_peer_call_bytes = std::size_t{64} << 10U;

/// Calls methods of other instances. Connections are kept open and reused; each carries one call at
/// a time. Not thread-safe; used on the executor of the control thread.
class peer_link {
public:
    virtual ~peer_link() = default;

    /// Calls `method` with the JSON object `params` and returns the result as JSON text. A request
    /// that may have been sent is not repeated. Throws link_error when the peer cannot be reached,
    /// does not know the secret or does not answer by `deadline`, unexpected_answer when it sends
    /// something else than the answer; peer_not_running when its machine
    /// refuses the connection; peer_call_refused or peer_call_failed when it answers with an error.
    [[nodiscard]] virtual boost::asio::awaitable<std::string>
    call(endpoint peer, std::string method, std::string params, clock::time_point deadline) = 0;

    /// Total bytes sent and received by this link, for the accounting of control traffic.
    [[nodiscard]] virtual std::size_t bytes() const noexcept = 0;
};

/// Answers calls from other instances. Its handlers run on the thread of its executor.
class peer_server {
public:
    /// Takes the params and returns the result, both as JSON text. A result that is too long for a
    /// message reaches the calling instance as peer_call_failed. A peer_call_refused from the
    /// handler reaches the calling instance as such, any other exception as peer_call_failed.
    using handler = std::function<boost::asio::awaitable<std::string>(std::string params)>;

    virtual ~peer_server() = default;

    /// Registers the handler of a method. Precondition: the method has no handler yet.
    virtual void add_method(const std::string& name, handler handle) = 0;

    /// The endpoint on which the server listens.
    [[nodiscard]] virtual endpoint address() const = 0;

    /// Stops accepting connections and closes the open ones.
    virtual void stop() = 0;
};

[[nodiscard]] std::unique_ptr<peer_link> make_peer_link(boost::asio::any_io_executor executor,
                                                        const peer_secret& secret);

/// Counts what the connections to a port hold. Without an account, only their number is limited.
struct port_account {
    std::shared_ptr<machines::resource_account> resources;
    machines::client_port port = machines::client_port::peers;
};

/// The returned server already listens. `role` is what the address is for, as in the settings.
/// Throws listen_failed.
[[nodiscard]] std::unique_ptr<peer_server>
make_peer_server(boost::asio::any_io_executor executor, const endpoint& listen,
                 std::string_view role, const peer_secret& secret, port_account account = {});

} // namespace oriole::links

#pragma once

#include "base/clock.h"
#include "load/types/load_options.h"
#include "load/types/planned_request.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>

namespace oriole::load {

/// Sends the requests of one session, one at a time. Not thread-safe.
class request_executor {
public:
    virtual ~request_executor() = default;

    /// Does not throw: a failure gives a result with status 0 and a reason.
    [[nodiscard]] virtual boost::asio::awaitable<execution_result>
    execute(planned_request request) = 0;

    /// Looks up the final outcome of the write `id`, whose outcome was unknown. Returns
    /// outcome::unknown if the lookup failed.
    [[nodiscard]] virtual boost::asio::awaitable<outcome> resolve_outcome(std::string id) = 0;
};

/// Creates the executors of the sessions.
class request_executor_factory {
public:
    virtual ~request_executor_factory() = default;

    [[nodiscard]] virtual std::unique_ptr<request_executor> make(const load_account& account,
                                                                 std::size_t session) = 0;
};

/// Executors that send requests over HTTP to instances of the proxy. Each session has its own
/// keep-alive connection to each instance that it uses. Precondition: `options` outlives the
/// factory and its executors.
[[nodiscard]] std::unique_ptr<request_executor_factory>
make_instance_executor_factory(boost::asio::any_io_executor executor, const load_options& options);

/// Executors that send statements directly to the backend servers, as a baseline without the proxy.
/// All sessions share one pipelined connection to each server.
/// Precondition: `options` outlives the factory, which outlives its executors.
[[nodiscard]] std::unique_ptr<request_executor_factory>
make_direct_executor_factory(const load_options& options);

} // namespace oriole::load

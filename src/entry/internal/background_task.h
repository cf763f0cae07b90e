#pragma once

#include <utility>

#include "base/decision_log.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace oriole::entry {

using task = std::function<boost::asio::awaitable<void>()>;

/// Runs a task that is to run as long as the process. When it throws, the failure is logged under
/// `name` and the task is started again after a pause, so that one unexpected error neither ends
/// the process nor leaves it without the task. Ends when the task returns. Precondition: the log
/// and what the task uses outlive the executor's context. Thread-safe.
void run_task(const boost::asio::any_io_executor& executor, decision_log& log, std::string name,
              task work);

/// Runs the context's handlers on the calling thread until the context is stopped. A handler that
/// throws is logged under the thread's `name`, and the others run on.
void run_event_loop(boost::asio::io_context& io, decision_log& log, const std::string& name);

} // namespace oriole::entry

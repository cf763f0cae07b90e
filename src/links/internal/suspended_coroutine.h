#pragma once

#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <memory>
#include <type_traits>

namespace oriole::links {

/// A suspended coroutine that is resumed with a value or an exception. Destroying this object
/// before completion destroys the coroutine.
template <class Value>
class suspended_coroutine {
public:
    virtual ~suspended_coroutine() = default;

    /// Resumes the coroutine on its own executor with `failure`, or with `value` when `failure` is
    /// null. Runs it before returning if that executor is the current one.
    virtual void complete(std::exception_ptr failure, Value value) = 0;

    /// Same as complete(), but always resumes after the current handler has returned.
    virtual void complete_later(std::exception_ptr failure, Value value) = 0;
};

template <class Value, class Handler>
class suspended_coroutine_handler final : public suspended_coroutine<Value> {
public:
    explicit suspended_coroutine_handler(Handler handler)
        : m_handler(std::move(handler)),
          m_executor(boost::asio::get_associated_executor(m_handler)) {}

    void complete(std::exception_ptr failure, Value value) override {
        boost::asio::dispatch(m_executor, resumption(std::move(failure), std::move(value)));
    }

    void complete_later(std::exception_ptr failure, Value value) override {
        boost::asio::post(m_executor, resumption(std::move(failure), std::move(value)));
    }

private:
    auto resumption(std::exception_ptr failure, Value value) {
        return
            [handler = std::move(m_handler), failure = std::move(failure),
             value = std::move(value)]() mutable { handler(std::move(failure), std::move(value)); };
    }

    Handler m_handler;
    boost::asio::associated_executor_t<Handler> m_executor;
};

/// Suspends the calling coroutine and passes it to `store` as a unique_ptr. `store` runs during the
/// suspension, so it may refer to variables of the coroutine.
template <class Value, class Store>
[[nodiscard]] boost::asio::awaitable<Value> suspend(Store store) {
    auto initiate = [&store](auto handler) {
        using handler_type = std::decay_t<decltype(handler)>;
        using waiter = suspended_coroutine_handler<Value, handler_type>;
        store(std::unique_ptr<suspended_coroutine<Value>>(
            std::make_unique<waiter>(std::move(handler))));
    };
    co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>,
                                                   void(std::exception_ptr, Value)>(
        initiate, boost::asio::use_awaitable);
}

} // namespace oriole::links

#pragma once

#include <utility>

#include "machines/resource_account.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>

namespace oriole::links {

/// Lets the account of client resources close a connection.
class stream_holder final : public machines::resource_holder,
                            public std::enable_shared_from_this<stream_holder> {
public:
    /// Precondition: the stream exists until detach().
    explicit stream_holder(boost::beast::tcp_stream& stream) : m_stream(&stream) {}

    /// Called when the stream ends, on its executor.
    void detach() noexcept { m_stream = nullptr; }

    /// Thread-safe.
    void close_for(machines::refusal_reason /*reason*/) override {
        boost::asio::post(m_executor, [self = shared_from_this()] {
            if (self->m_stream != nullptr) {
                self->m_stream->close();
            }
        });
    }

private:
    boost::beast::tcp_stream* m_stream;
    boost::asio::any_io_executor m_executor = m_stream->get_executor();
};

/// Detaches the holder at the end of a scope, also when an exception ends it. Declared after the
/// stream.
class stream_attachment {
public:
    explicit stream_attachment(std::shared_ptr<stream_holder> holder)
        : m_holder(std::move(holder)) {}

    ~stream_attachment() { m_holder->detach(); }

    stream_attachment(const stream_attachment&) = delete;
    stream_attachment& operator=(const stream_attachment&) = delete;

private:
    std::shared_ptr<stream_holder> m_holder;
};

} // namespace oriole::links

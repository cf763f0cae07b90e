#pragma once

#include "backend_settings.h"
#include "replication_puller.h"
#include "server_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <vector>

namespace oriole::standins {

/// One backend server as a process: its statement and control ports, timers and replication, all on
/// one io_context. Not thread-safe.
class backend_process {
public:
    /// Throws boost::system::system_error when an address cannot be bound.
    backend_process(boost::asio::io_context& context, backend_settings settings);

    void start();

    [[nodiscard]] std::uint16_t statement_port() const { return m_statement_port.port(); }

    [[nodiscard]] std::uint16_t control_port() const { return m_control_port.port(); }

private:
    using connection = std::shared_ptr<server_connection>;

    /// A confirm or fetch request that cannot be answered yet.
    struct waiting_call {
        connection requester;
        std::uint64_t id = 0;
        links::backend_call call;
        clock::time_point deadline;
    };

    void handle_statement(const connection& requester, const links::backend_request& request);
    void handle_control(const connection& requester, links::backend_request request);
    void schedule_retry();
    void retry_waiting_calls();
    [[nodiscard]] bool try_answer(waiting_call& waiting, clock::time_point now);
    void schedule_timer();

    boost::asio::io_context& m_context;
    backend_settings m_settings;
    database_server m_server;
    replication_puller m_puller;
    server_port m_statement_port;
    server_port m_control_port;
    boost::asio::steady_timer m_timer;
    std::optional<clock::time_point> m_timer_due;
    std::vector<waiting_call> m_waiting_calls;
    std::uint64_t m_handled_change_count = 0;
    bool m_retry_posted = false;
};

} // namespace oriole::standins

#include "links/listening_socket.h"

#include "base/process_setup.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <glog/logging.h>

#include <chrono>
#include <csignal>
#include <string>

namespace oriole::links {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds address_retry_pause{200};
/// An address that stays in use is logged at the first attempt and then every 10 s.
constexpr int attempts_per_log_line = 50;

/// Waits for the time of a pause, or for a signal that stops the process.
class retry_wait {
public:
    retry_wait() : m_signals(m_io, SIGTERM, SIGINT, SIGHUP), m_timer(m_io, address_retry_pause) {}

    /// Returns whether the process has to stop.
    [[nodiscard]] bool stopped() {
        wait_for_signal();
        m_timer.async_wait([this](const error_code&) { m_signals.cancel(); });
        const stop_signal_delivery delivery;
        m_io.run();
        return m_stopped;
    }

private:
    void wait_for_signal() {
        m_signals.async_wait([this](const error_code& canceled, int signal) {
            if (canceled) {
                return;
            }
            if (signal == SIGHUP) {
                wait_for_signal();
                return;
            }
            m_stopped = true;
            m_timer.cancel();
        });
    }

    asio::io_context m_io{1};
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    bool m_stopped = false;
};

} // namespace

void listen(tcp::acceptor& acceptor, const endpoint& address, std::string_view role) {
    try {
        const tcp::endpoint local(asio::ip::make_address(address.address()), address.port());
        acceptor.open(local.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(local);
        acceptor.listen();
    } catch (const boost::system::system_error& failure) {
        const auto message = "cannot listen on " + address.str() + " (" + std::string(role) +
                             "): " + failure.code().message();
        if (failure.code() == asio::error::address_in_use) {
            throw address_in_use(message);
        }
        throw listen_failed(message);
    }
}

std::optional<tcp::socket> accept_waiting(tcp::acceptor& acceptor,
                                          const asio::any_io_executor& executor) {
    error_code error;
    tcp::socket socket(executor);
    acceptor.non_blocking(true, error);
    if (!error) {
        acceptor.accept(socket, error);
    }
    return error ? std::nullopt : std::optional<tcp::socket>(std::move(socket));
}

void serve_when_addresses_are_free(const std::function<void()>& serve) {
    for (int attempt = 0;; ++attempt) {
        try {
            serve();
            return;
        } catch (const address_in_use& taken) {
            if (attempt % attempts_per_log_line == 0) {
                LOG(WARNING) << taken.what() << "; trying again";
            }
        }
        if (retry_wait().stopped()) {
            return;
        }
    }
}

} // namespace oriole::links

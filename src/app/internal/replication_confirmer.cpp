#include <utility>

#include "app/internal/replication_confirmer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace oriole::app {
namespace {

namespace asio = boost::asio;

} // namespace

/// State of one call to confirm: the answers received so far.
struct replication_confirmer::pending_confirmation {
    pending_confirmation(const asio::any_io_executor& executor, machines::log_position wanted,
                         std::size_t needed_holders, std::size_t asked, clock::time_point until)
        : position(wanted),
          needed(needed_holders),
          outstanding(asked),
          deadline(until),
          finished(executor, std::chrono::time_point_cast<asio::steady_timer::duration>(until)) {}

    void record(bool holds, bool refused_by_term) {
        --outstanding;
        holders += holds ? 1 : 0;
        fenced = fenced || refused_by_term;
        if (holders >= needed || holders + outstanding < needed) {
            finished.cancel();
        }
    }

    machines::log_position position;
    std::size_t needed;
    std::size_t outstanding;
    std::size_t holders = 0;
    bool fenced = false;
    clock::time_point deadline;
    asio::steady_timer finished;
};

asio::awaitable<confirmation_result>
replication_confirmer::confirm(std::vector<machines::backend_server> servers,
                               machines::log_position position, std::size_t needed,
                               clock::time_point deadline) {
    if (needed == 0) {
        co_return confirmation_result::confirmed;
    }
    if (servers.size() < needed) {
        co_return confirmation_result::insufficient;
    }
    const auto executor = co_await asio::this_coro::executor;
    auto pending = std::make_shared<pending_confirmation>(executor, position, needed,
                                                          servers.size(), deadline);
    for (auto& server : servers) {
        asio::co_spawn(executor, ask(std::move(server), pending), asio::detached);
    }
    boost::system::error_code ignored;
    co_await pending->finished.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (pending->holders >= needed) {
        co_return confirmation_result::confirmed;
    }
    co_return pending->fenced ? confirmation_result::fenced : confirmation_result::insufficient;
}

asio::awaitable<void> replication_confirmer::ask(machines::backend_server server,
                                                 std::shared_ptr<pending_confirmation> pending) {
    bool holds = false;
    bool refused_by_term = false;
    try {
        const auto link = co_await link_to(std::move(server), pending->deadline);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            pending->deadline - steady_clock().now());
        links::backend_call call = links::confirm_request{pending->position, left};
        const auto result = co_await link->call(std::move(call), pending->deadline);
        if (const auto* answer = std::get_if<links::confirm_answer>(&result)) {
            holds = answer->holds;
        } else if (const auto* refused = std::get_if<links::refusal_answer>(&result)) {
            refused_by_term = refused->reason == links::refusal_reason::stale_term;
        }
    } catch (const links::link_error&) {
        holds = false;
    }
    pending->record(holds, refused_by_term);
}

asio::awaitable<std::shared_ptr<links::backend_link>>
replication_confirmer::link_to(machines::backend_server server, clock::time_point deadline) {
    const endpoint& address = server.control_endpoint();
    const auto found = m_links.find(address);
    if (found != m_links.end() && found->second->usable()) {
        co_return found->second;
    }
    auto opened = co_await m_connector.connect(address, deadline);
    // Another write may have opened a link in the meantime. It is replaced here, and closes when
    // the calls that use it have ended.
    m_links[address] = opened;
    co_return opened;
}

} // namespace oriole::app

#include "links/internal/pooled_transaction_link.h"

#include <boost/asio/co_spawn.hpp>

namespace oriole::links {
namespace {

namespace asio = boost::asio;

bool ends_transaction(const backend_call& call) {
    return std::holds_alternative<commit_request>(call) ||
           std::holds_alternative<rollback_request>(call);
}

/// Whether the answer to a commit or rollback proves that no transaction is open on the connection.
bool confirms_transaction_end(const backend_result& result) {
    if (const auto* refusal = std::get_if<refusal_answer>(&result)) {
        return refusal->reason == refusal_reason::conflict;
    }
    return std::holds_alternative<execute_answer>(result) ||
           std::holds_alternative<accepted_answer>(result);
}

/// Whether the answer to begin proves that no transaction was opened.
bool confirms_not_begun(const backend_result& result) {
    const auto* refusal = std::get_if<refusal_answer>(&result);
    return refusal != nullptr && (refusal->reason == refusal_reason::not_primary ||
                                  refusal->reason == refusal_reason::stale_term);
}

} // namespace

pooled_transaction_link::pooled_transaction_link(std::shared_ptr<pooled_backend_pool> pool,
                                                 pooled_backend_pool::connection used)
    : m_reservation(std::make_shared<reservation>(reservation{std::move(pool), std::move(used)})) {}

pooled_transaction_link::~pooled_transaction_link() {
    asio::dispatch(m_reservation->pool->executor(),
                   [reserved = m_reservation] { release_connection(*reserved, false); });
}

asio::awaitable<backend_result> pooled_transaction_link::call(backend_call call,
                                                              clock::time_point deadline) {
    const auto caller_executor = co_await asio::this_coro::executor;
    const auto& executor = m_reservation->pool->executor();
    auto operation = call_on_executor(m_reservation, std::move(call), deadline);
    if (caller_executor == executor) {
        co_return co_await std::move(operation);
    }
    co_return co_await asio::co_spawn(executor, std::move(operation), asio::use_awaitable);
}

asio::awaitable<backend_result>
pooled_transaction_link::call_on_executor(std::shared_ptr<reservation> reserved, backend_call call,
                                          clock::time_point deadline) {
    if (!reserved->used) {
        throw link_error("the transaction has ended", false);
    }
    const auto used = reserved->used;
    const bool first = std::holds_alternative<begin_request>(call);
    const bool last = ends_transaction(call);
    const auto sent_at = steady_clock().now();
    std::exception_ptr failure;
    try {
        backend_result result = co_await used->link->call(std::move(call), deadline);
        if (first && confirms_not_begun(result)) {
            release_connection(*reserved, true);
        } else if (last) {
            release_connection(*reserved,
                               confirms_transaction_end(result) && used->link->in_flight() == 0);
        }
        co_return result;
    } catch (const link_error&) {
        failure = std::current_exception();
    }
    const auto now = steady_clock().now();
    reserved->pool->record_failure(used, now - sent_at, now);
    release_connection(*reserved, false);
    std::rethrow_exception(failure);
}

void pooled_transaction_link::release_connection(reservation& reserved, bool clean) {
    if (const auto used = std::exchange(reserved.used, nullptr)) {
        reserved.pool->release(used, clean);
    }
}

} // namespace oriole::links

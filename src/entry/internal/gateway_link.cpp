#include <utility>

#include "entry/internal/gateway_link.h"

#include "entry/forward_codec.h"
#include "entry/peer_report_codec.h"
#include "links/backend_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace oriole::entry {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

/// Pause before a failed instance is called again.
constexpr clock::duration retry_pause = 1s;
/// Time limit for calls that run no statement at a server (roll_back and admit).
constexpr clock::duration short_call_limit = 150ms;

} // namespace

const links::peer_secret& fleet_secret() {
    static const links::peer_secret secret{"oriolethread-fleet"};
    return secret;
}

gateway_link::gateway_link(asio::any_io_executor executor, decision_log& log,
                           metric_registry& metrics)
    : m_executor(std::move(executor)),
      m_log(log),
      m_unexpected_replies(log, metrics),
      m_link(links::make_peer_link(m_executor, fleet_secret())) {}

bool gateway_link::usable(const instance_id& instance, clock::time_point now) const {
    const auto known = m_health.find(instance);
    return known == m_health.end() || !known->second.retry_at || *known->second.retry_at <= now;
}

asio::awaitable<forwarded_outcome> gateway_link::run(fleet::registered_instance gateway,
                                                     forwarded_statement forwarded,
                                                     clock::time_point deadline) {
    const auto text =
        co_await call(std::move(gateway), run_method, encode_forwarded(forwarded), deadline);
    try {
        co_return decode_outcome(text);
    } catch (const report_unreadable& failure) {
        throw gateway_outcome_unknown(std::string("unreadable answer: ") + failure.what());
    }
}

void gateway_link::roll_back(const fleet::registered_instance& gateway, std::uint64_t transaction) {
    auto send_rollback = [](gateway_link& self, fleet::registered_instance to,
                            std::string params) -> asio::awaitable<void> {
        const auto deadline = steady_clock().now() + short_call_limit;
        try {
            static_cast<void>(
                co_await self.call(std::move(to), roll_back_method, std::move(params), deadline));
        } catch (const error&) {
            // call() has logged the failure; the gateway rolls back idle transactions by itself.
            co_return;
        }
    };
    auto params = nlohmann::json{{"transaction", transaction}}.dump();
    asio::co_spawn(m_executor, send_rollback(*this, gateway, std::move(params)), asio::detached);
}

asio::awaitable<int> gateway_link::admit(fleet::registered_instance coordinator,
                                         account_name account, int operations) {
    auto params = nlohmann::json{{"account", account.str()}, {"count", operations}}.dump();
    const auto deadline = steady_clock().now() + short_call_limit;
    const auto text =
        co_await call(std::move(coordinator), admit_method, std::move(params), deadline);
    try {
        const auto answer = nlohmann::json::parse(text);
        if (!answer.at("kept").get<bool>()) {
            throw gateway_refused("the instance is not a coordinator of the account's rate");
        }
        co_return answer.at("admitted").get<int>();
    } catch (const nlohmann::json::exception& failure) {
        throw gateway_outcome_unknown(std::string("unreadable answer: ") + failure.what());
    }
}

asio::awaitable<std::string> gateway_link::call(fleet::registered_instance instance,
                                                std::string method, std::string params,
                                                clock::time_point deadline) {
    const auto started = steady_clock().now();
    auto& known = m_health[instance.id];
    if (known.retry_at) {
        // Only this call probes the failed instance; others wait for the next pause.
        known.retry_at = started + retry_pause;
    }
    std::string refusal;
    std::string reason_without_answer;
    try {
        auto result = co_await m_link->call(instance.gateway_address, std::move(method),
                                            std::move(params), deadline);
        answered(instance);
        co_return result;
    } catch (const links::peer_call_too_long& failure) {
        throw gateway_refused(failure.what());
    } catch (const links::peer_call_refused& failure) {
        refusal = failure.what();
    } catch (const links::peer_call_failed& failure) {
        reason_without_answer = failure.what();
    } catch (const links::unexpected_answer& failure) {
        m_unexpected_replies.report(instance.id, failure.what());
        reason_without_answer = failure.what();
    } catch (const links::link_error& failure) {
        (failure.sent() ? reason_without_answer : refusal) = failure.what();
    } catch (const error& failure) {
        refusal = failure.what();
    }
    failed(instance, started, refusal.empty() ? reason_without_answer : refusal);
    if (!refusal.empty()) {
        throw gateway_refused(refusal);
    }
    throw gateway_outcome_unknown(reason_without_answer);
}

void gateway_link::failed(const fleet::registered_instance& instance, clock::time_point started,
                          const std::string& reason) {
    auto& known = m_health[instance.id];
    // If the instance has answered another call since this one started, it is slow rather than
    // unreachable.
    if (known.retry_at || (known.answered && *known.answered > started)) {
        return;
    }
    known.retry_at = steady_clock().now() + retry_pause;
    m_log.write(log_entry("gateway")
                    .add("instance", instance.id.str())
                    .add("outcome", "lost")
                    .add("reason", reason));
}

void gateway_link::answered(const fleet::registered_instance& instance) {
    auto& known = m_health[instance.id];
    known.answered = steady_clock().now();
    if (known.retry_at) {
        known.retry_at.reset();
        m_log.write(
            log_entry("gateway").add("instance", instance.id.str()).add("outcome", "regained"));
    }
}

} // namespace oriole::entry

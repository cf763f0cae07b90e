#pragma once

#include "base/clock.h"
#include "base/decision_log.h"
#include "entry/internal/gateway_calls.h"
#include "entry/internal/unexpected_replies.h"
#include "links/peer_link.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oriole::entry {

/// Method names of the calls between the traffic threads of instances.
inline constexpr const char* run_method = "run";
inline constexpr const char* roll_back_method = "roll_back";
inline constexpr const char* admit_method = "admit";

/// The secret that the instances of one deployment share. Instances find each other by the
/// addresses in the store; the secret only has to reject other programs that connect by mistake.
[[nodiscard]] const links::peer_secret& fleet_secret();

/// Calls other instances over TCP and tracks which of them are failing. Not thread-safe.
class gateway_link final : public gateway_calls {
public:
    /// Precondition: the log and the metrics outlive the link.
    gateway_link(boost::asio::any_io_executor executor, decision_log& log,
                 metric_registry& metrics);

    [[nodiscard]] bool usable(const instance_id& instance, clock::time_point now) const override;

    [[nodiscard]] boost::asio::awaitable<forwarded_outcome>
    run(fleet::registered_instance gateway, forwarded_statement forwarded,
        clock::time_point deadline) override;

    void roll_back(const fleet::registered_instance& gateway, std::uint64_t transaction) override;

    [[nodiscard]] boost::asio::awaitable<int> admit(fleet::registered_instance coordinator,
                                                    account_name account, int operations) override;

private:
    struct health {
        std::optional<clock::time_point> answered;
        std::optional<clock::time_point> retry_at; ///< set while the instance is considered failed
    };

    [[nodiscard]] boost::asio::awaitable<std::string> call(fleet::registered_instance instance,
                                                           std::string method, std::string params,
                                                           clock::time_point deadline);
    void failed(const fleet::registered_instance& instance, clock::time_point started,
                const std::string& reason);
    void answered(const fleet::registered_instance& instance);

    boost::asio::any_io_executor m_executor;
    decision_log& m_log;
    unexpected_replies m_unexpected_replies;
    std::unique_ptr<links::peer_link> m_link;
    std::map<instance_id, health> m_health;
};

} // namespace oriole::entry

#pragma once

#include "base/decision_log.h"
#include "base/metric_registry.h"
#include "base/random_source.h"
#include "routing/server_channel.h"

#include <memory>

namespace oriole::routing {

/// Makes channels that check each answer against the command to which it is attributed, so that the
/// repetition of an earlier answer is not taken for the answer to a later command. A channel that
/// receives another answer throws unexpected_answer, and `broken()` is true from then on. `send`
/// throws connection_unusable, with nothing sent, if data wait to be read although all commands are
/// answered. Each connection that is given up for such a reason is logged and counted. Not
/// thread-safe; outlives its channels.
class checked_connector final : public server_connector {
public:
    checked_connector(server_connector& connector, decision_log& log, metric_registry& metrics);

    [[nodiscard]] std::shared_ptr<server_channel>
    make_channel(boost::asio::any_io_executor executor) override;

private:
    server_connector& m_connector;
    decision_log& m_log;
    metric& m_unexpected_answers;
    std::unique_ptr<random_source> m_random = make_random_source();
};

} // namespace oriole::routing

#pragma once

#include "fleet/duty_lease.h"
#include "usage/types/order_news.h"
#include "usage/types/report_task.h"
#include "usage/types/usage_settings.h"
#include "usage/types/window_outcome.h"
#include "usage/usage_authority.h"

#include <optional>
#include <utility>
#include <vector>

namespace oriole::usage {

/// Decides when this instance reports a usage window and with which counts. Does no I/O: the caller
/// carries out the steps that next() returns and tells the result. The order in the store decides
/// what is sent; a window for which an order may exist is never counted anew. Not thread-safe;
/// owned by the control thread.
class report_duty {
public:
    report_duty(instance_id own, const usage_settings& settings);

    /// Returns the next step.
    [[nodiscard]] report_task next(const report_situation& situation);

    /// The store's newest order was read.
    void order_read(const usage_order& order, const report_situation& situation);

    /// A call to the store failed. An order of this instance may have been stored.
    void store_failed(clock::time_point now);

    /// The counts of the window were brought together.
    void gathered(std::int64_t window, gathered_counts result, clock::time_point now);

    /// The store holds this instance's order. `asked` is the time before the store was called.
    void order_recorded(const usage_order& order, clock::time_point asked);

    /// Another instance replaced the order first, or the store was restored.
    void order_replaced(clock::time_point now);

    /// The platform answered the report of the order.
    void report_answered(const usage_order& order, usage_result result,
                         const report_situation& situation);

    /// The platform did not answer the report.
    void report_unanswered(clock::time_point now);

    /// Another instance has stated the newest order that it knows.
    void heard(const order_news& news, clock::time_point now);

    /// The newest order that this instance knows, for the others.
    [[nodiscard]] order_news news(clock::time_point now) const;

    /// Whether this instance wrote the newest known order.
    [[nodiscard]] bool is_holder() const { return m_news.fence != 0 && m_news.holder == m_own; }

    /// Returns the windows that have ended, one way or the other, since the last call, as far as
    /// this instance was to report them.
    [[nodiscard]] std::vector<window_outcome> take_outcomes() {
        return std::exchange(m_outcomes, {});
    }

private:
    /// This instance's place among the candidates, the last holder first; nullopt when it is none.
    [[nodiscard]] std::optional<std::size_t> turn(const report_situation& situation) const;
    /// Moves on to the oldest window that can still be reported in time.
    void skip_past_windows(const report_situation& situation);
    /// Whether the window needs no report of this instance any more.
    [[nodiscard]] bool settled_by_others() const;
    [[nodiscard]] report_task task_with_order(const report_situation& situation);
    [[nodiscard]] report_task repeat_recorded(const report_situation& situation);
    [[nodiscard]] report_task count_anew(const report_situation& situation);
    [[nodiscard]] bool may_send(const usage_order& order, clock::time_point now) const;
    /// Whether this instance leaves the window to others after its report had no answer.
    [[nodiscard]] bool yields(const report_situation& situation) const;
    /// Ends the work on the current window.
    void close(miss_reason reason, const report_situation& situation);
    void learn(const order_news& news, clock::time_point now);

    instance_id m_own;
    usage_settings m_settings;
    fleet::duty_lease m_lease;
    std::optional<std::int64_t> m_window; ///< the oldest window that is not closed
    std::optional<usage_order> m_order;   ///< the order in the store; nullopt when it must be read
    std::optional<account_counts> m_gathered; ///< complete counts of m_window
    order_news m_news;                        ///< the newest known order; its age is not used
    clock::time_point m_news_at{};            ///< earliest time at which that order existed
    std::uint64_t m_recorded_fence = 0;       ///< token of this instance's last order
    clock::time_point m_recorded_at{};
    std::uint64_t m_refused_fence = 0; ///< highest token that the platform has refused
    /// Windows up to this one may have been reported under an order that the store has lost.
    std::optional<std::int64_t> m_last_lost;
    /// Revision of the last order that was read and need not be the last one that was written.
    std::optional<fleet::store_revision> m_uncertain_revision;
    clock::time_point m_not_before{}; ///< no further step until then
    miss_reason m_reason = miss_reason::late;
    bool m_responsible = false; ///< for m_window: first in turn, or has taken a step
    std::vector<window_outcome> m_outcomes;
};

} // namespace oriole::usage

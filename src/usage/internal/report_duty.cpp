#include "usage/report_duty.h"

#include "usage/usage_order_store.h"

#include <algorithm>
#include <array>

namespace oriole::usage {
namespace {

using namespace std::chrono_literals;

/// When the candidates begin to report a window, in hundredths of the time between its end and the
/// limit. The first waits for the counts of statements that are still running; each further one
/// until the one before it has had time to record an order.
constexpr std::array turn_percent{20, 35, 50, 65};
/// No report is begun when less than this remains until the limit.
constexpr clock::duration late_margin = 500ms;
constexpr clock::duration retry_pause = 400ms;
/// A call of the last holder may reach the platform this long after the end of its sending time.
constexpr clock::duration call_margin = 1s;
/// A window that ended longer ago than this many windows is not looked at.
constexpr std::int64_t max_windows_back = 100;

} // namespace

report_duty::report_duty(instance_id own, const usage_settings& settings)
    : m_own(own), m_settings(settings), m_lease(std::move(own), settings.lease + call_margin) {}

report_task report_duty::next(const report_situation& situation) {
    if (!situation.time) {
        return {};
    }
    skip_past_windows(situation);
    const auto end = window_end(*m_window, m_settings.window);
    const auto place = turn(situation);
    if (*situation.time < end || !place) {
        return {};
    }
    if (settled_by_others()) {
        close(miss_reason::superseded, situation);
        return {};
    }
    m_responsible = m_responsible || *place == 0;
    const bool own_order = m_order && m_order->report.window == *m_window && is_holder();
    const auto begin = end + m_settings.late_limit / 100 *
                                 turn_percent.at(std::min(*place, turn_percent.size() - 1));
    const bool in_turn = *place < turn_percent.size() && *situation.time >= begin;
    if (situation.now < m_not_before || (!own_order && !in_turn)) {
        return {};
    }
    m_responsible = true;
    if (!m_order) {
        return {report_step::read_order, *m_window, {}};
    }
    return task_with_order(situation);
}

void report_duty::order_read(const usage_order& order, const report_situation& situation) {
    if (!is_last_report(order) && order.revision != m_uncertain_revision && situation.time) {
        m_uncertain_revision = order.revision;
        m_last_lost = window_at(*situation.time, m_settings.window) - 1;
    }
    m_order = order;
    learn({order.report.window, order.fence, order.holder, {}, false}, situation.now);
}

void report_duty::store_failed(clock::time_point now) {
    m_order.reset();
    m_reason = miss_reason::store_away;
    m_not_before = now + retry_pause;
}

void report_duty::gathered(std::int64_t window, gathered_counts result, clock::time_point now) {
    if (m_window != window) {
        return;
    }
    if (result.status == gather_status::complete) {
        m_gathered = std::move(result.counts);
        return;
    }
    m_reason = result.status == gather_status::zone_missing ? miss_reason::zone_missing
                                                            : miss_reason::not_observed;
    m_not_before = now + retry_pause;
}

void report_duty::order_recorded(const usage_order& order, clock::time_point asked) {
    m_order = order;
    m_recorded_fence = order.fence;
    m_recorded_at = asked;
    learn({order.report.window, order.fence, order.holder, {}, false}, asked);
}

void report_duty::order_replaced(clock::time_point now) {
    m_order.reset();
    m_gathered.reset();
    m_not_before = now + retry_pause;
}

void report_duty::report_answered(const usage_order& order, usage_result result,
                                  const report_situation& situation) {
    if (result == usage_result::refused) {
        m_refused_fence = std::max(m_refused_fence, order.fence);
        m_order.reset();
        m_reason = miss_reason::refused;
        return;
    }
    if (m_news.fence == order.fence) {
        m_news.accepted = true;
    }
    if (m_window == order.report.window) {
        close(miss_reason::none, situation);
    }
}

void report_duty::report_unanswered(clock::time_point now) {
    m_reason = miss_reason::no_answer;
    m_not_before = now + retry_pause;
}

void report_duty::heard(const order_news& news, clock::time_point now) {
    if (news.fence == 0) {
        return;
    }
    learn(news, now - news.age);
    if (m_order && m_order->fence < news.fence) {
        m_order.reset();
    }
}

order_news report_duty::news(clock::time_point now) const {
    auto result = m_news;
    result.age = std::max(now - m_news_at, clock::duration::zero());
    return result;
}

std::optional<std::size_t> report_duty::turn(const report_situation& situation) const {
    const auto& candidates = situation.candidates;
    const auto own = std::find(candidates.begin(), candidates.end(), m_own);
    if (own == candidates.end()) {
        return std::nullopt;
    }
    const auto holder = std::find(candidates.begin(), candidates.end(), m_news.holder);
    if (holder == own) {
        return 0;
    }
    const auto place = static_cast<std::size_t>(own - candidates.begin());
    const bool moved_back = holder != candidates.end() && own < holder;
    return moved_back ? place + 1 : place;
}

void report_duty::skip_past_windows(const report_situation& situation) {
    const auto current = window_at(*situation.time, m_settings.window);
    if (!m_window || *m_window < current - max_windows_back || *m_window > current) {
        // What is known of the former window must not be reported for this one.
        m_window = current;
        m_gathered.reset();
        m_reason = miss_reason::late;
        m_responsible = false;
    }
    const auto limit = m_settings.late_limit - late_margin;
    while (window_end(*m_window, m_settings.window) + limit <= *situation.time) {
        close(m_reason, situation);
    }
}

bool report_duty::settled_by_others() const {
    if (m_news.fence == 0 || m_news.window < *m_window) {
        return false;
    }
    return m_news.window > *m_window || m_news.accepted;
}

report_task report_duty::task_with_order(const report_situation& situation) {
    if (m_last_lost && *m_window <= *m_last_lost) {
        close(miss_reason::store_restored, situation);
        return {};
    }
    const bool recorded = m_order->fence != 0;
    if (recorded && m_order->report.window > *m_window) {
        close(miss_reason::superseded, situation);
        return {};
    }
    if (recorded && m_order->report.window == *m_window) {
        return repeat_recorded(situation);
    }
    return count_anew(situation);
}

report_task report_duty::repeat_recorded(const report_situation& situation) {
    if (m_order->fence <= m_refused_fence) {
        close(miss_reason::refused, situation);
        return {};
    }
    if (may_send(*m_order, situation.now)) {
        return {report_step::send_report, *m_window, *m_order};
    }
    if (yields(situation) || !m_lease.may_act(m_order->holder, m_order->fence, situation.now)) {
        return {};
    }
    auto repeated = *m_order;
    repeated.holder = m_own;
    repeated.fence = 0;
    return {report_step::record_order, *m_window, std::move(repeated)};
}

report_task report_duty::count_anew(const report_situation& situation) {
    // An order for this window or a later one was known and is gone from the store.
    if (m_news.fence != 0 && *m_window <= m_news.window) {
        close(miss_reason::store_restored, situation);
        return {};
    }
    if (!m_lease.may_act(m_order->holder, m_order->fence, situation.now)) {
        return {};
    }
    if (!m_gathered) {
        return {report_step::gather, *m_window, {}};
    }
    usage_order order;
    order.report = {*m_window, *m_gathered};
    order.holder = m_own;
    order.revision = m_order->revision;
    return {report_step::record_order, *m_window, std::move(order)};
}

bool report_duty::may_send(const usage_order& order, clock::time_point now) const {
    return order.holder == m_own && order.fence == m_recorded_fence &&
           now - m_recorded_at < m_settings.lease;
}

bool report_duty::yields(const report_situation& situation) const {
    const bool others = situation.candidates.size() > 1;
    const auto pause = (m_settings.lease + call_margin) * 2;
    return others && m_order->fence == m_recorded_fence && situation.now - m_recorded_at < pause;
}

void report_duty::close(miss_reason reason, const report_situation& situation) {
    const bool by_another = reason == miss_reason::superseded || settled_by_others();
    if (m_responsible && (reason == miss_reason::none || !by_another)) {
        const auto end = window_end(*m_window, m_settings.window);
        m_outcomes.push_back({*m_window, reason, *situation.time - end});
    }
    ++*m_window;
    m_gathered.reset();
    m_reason = miss_reason::late;
    m_responsible = false;
}

void report_duty::learn(const order_news& news, clock::time_point at) {
    if (news.fence == 0 || news.fence < m_news.fence) {
        return;
    }
    m_lease.seen(news.fence, at);
    if (news.fence == m_news.fence) {
        m_news.accepted = m_news.accepted || news.accepted;
        m_news_at = std::min(m_news_at, at);
        return;
    }
    m_news = news;
    m_news_at = at;
}

} // namespace oriole::usage

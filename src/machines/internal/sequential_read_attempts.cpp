#include "machines/internal/sequential_read_attempts.h"

namespace oriole::machines {
namespace {

/// Pause between two rounds over all servers: approximately the time after which a replica's next
/// fetch or a new report can change the ranking.
constexpr std::chrono::milliseconds pause_between_rounds{20};

read_step step_without_server(read_action action) {
    read_step step;
    step.action = action;
    return step;
}

read_step next_candidate(read_progress& progress, const read_plan& plan, clock::time_point now) {
    if (now >= progress.deadline) {
        return step_without_server(read_action::give_up);
    }
    if (progress.next >= plan.size()) {
        progress.next = 0;
        ++progress.rounds;
        auto step = step_without_server(read_action::rank_again);
        step.wait = pause_between_rounds;
        return step;
    }
    const auto& candidate = plan[progress.next++];
    progress.at_primary = candidate.suitability == read_suitability::primary;
    read_step step;
    step.action = read_action::send;
    step.candidate = candidate;
    return step;
}

} // namespace

std::pair<read_progress, read_step> sequential_read_attempts::next(read_progress progress,
                                                                   read_event event,
                                                                   const read_plan& plan,
                                                                   clock::time_point now) const {
    if (event == read_event::history_lost && progress.at_primary) {
        return {progress, step_without_server(read_action::report_history_lost)};
    }
    if (event == read_event::failed_sent && !progress.repeatable) {
        return {progress, step_without_server(read_action::report_outcome_unknown)};
    }
    auto step = next_candidate(progress, plan, now);
    step.uses_retry_budget = event == read_event::failed_sent || event == read_event::failed_unsent;
    return {progress, step};
}

std::unique_ptr<read_attempts> make_read_attempts() {
    return std::make_unique<sequential_read_attempts>();
}

} // namespace oriole::machines

#pragma once

#include "base/clock.h"
#include "base/types/name.h"
#include "usage/types/account_counts.h"
#include "usage/types/true_time.h"
#include "usage/types/usage_order.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace oriole::usage {

/// What report_duty decides on.
struct report_situation {
    clock::time_point now{};             ///< by the boot clock
    std::optional<true_time> time;       ///< true time; nullopt while it is not known
    std::vector<instance_id> candidates; ///< the instances that may report, by rank

    friend bool operator==(const report_situation&, const report_situation&) = default;
};

enum class report_step {
    wait,
    read_order,   ///< read the newest order from the store
    gather,       ///< bring together the counts of the task's window
    record_order, ///< replace the order in the store by the task's
    send_report   ///< send the report of the task's order to the platform
};

/// The next step towards a report.
struct report_task {
    report_step step = report_step::wait;
    std::int64_t window = 0;
    usage_order order; ///< for record_order and send_report

    friend bool operator==(const report_task&, const report_task&) = default;
};

enum class gather_status {
    complete,
    zone_missing, ///< no collector of some zone has answered
    not_observed  ///< no collector has been one since the start of the window
};

/// The counts of a window, as far as they could be brought together.
struct gathered_counts {
    gather_status status = gather_status::zone_missing;
    account_counts counts;

    friend bool operator==(const gathered_counts&, const gathered_counts&) = default;
};

} // namespace oriole::usage

#pragma once

#include "base/clock.h"
#include "machines/types/failure_evidence.h"

#include <chrono>
#include <memory>
#include <optional>
#include <set>

namespace oriole::machines {

/// Decides from probe results whether the primary of one database has failed. Each instance that
/// watches (probes) the database has one detector for it. Not thread-safe.
class failure_detector {
public:
    virtual ~failure_detector() = default;

    /// Records that a round of probes to all servers starts. If a round starts late, this instance
    /// was paused or overloaded, so missing answers before that round are ignored.
    virtual void round_started(clock::time_point now) = 0;

    /// Processes an answer of `server` to a probe.
    virtual void answered(const server_name& server, clock::time_point now) = 0;

    /// Processes evidence received from another instance. The evidence expires after
    /// `failure_detector_settings::evidence_lifetime`.
    virtual void evidence_received(const failure_evidence& evidence, clock::time_point now) = 0;

    /// This instance's own evidence that `primary` has failed; none if it answered recently.
    [[nodiscard]] virtual std::optional<failure_evidence>
    own_evidence(const server_name& primary, std::uint64_t term, clock::time_point now) const = 0;

    /// True when this instance and enough others have evidence that `primary` failed in `term`: two
    /// instances in all, or one if `live_watchers` has only one. `live_watchers` includes this
    /// instance.
    [[nodiscard]] virtual bool failed(const server_name& primary, std::uint64_t term,
                                      const std::set<instance_id>& live_watchers,
                                      clock::time_point now) const = 0;
};

struct failure_detector_settings {
    std::chrono::milliseconds probe_interval{100};
    /// A primary that has not answered for this time is suspected. The time covers three
    /// consecutive unanswered probes, so that a single lost probe or a short stall of the server
    /// does not cause a change of primary.
    std::chrono::milliseconds suspect_after{400};
    /// A round of probes that starts later than this after the previous one was delayed at this
    /// instance.
    std::chrono::milliseconds late_round_threshold{250};
    /// How long another instance's evidence is valid. The instance repeats it with each digest.
    std::chrono::milliseconds evidence_lifetime{1000};

    friend bool operator==(const failure_detector_settings&,
                           const failure_detector_settings&) = default;
};

[[nodiscard]] std::unique_ptr<failure_detector>
make_failure_detector(database_name database, instance_id self,
                      failure_detector_settings settings = {});

} // namespace oriole::machines

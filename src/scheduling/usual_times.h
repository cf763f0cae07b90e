#pragma once

#include "base/clock.h"

#include <map>
#include <string>

namespace oriole::scheduling {

/// The usual time of a service's statements by kind, over all of its servers. It follows slowly, so
/// that a server's slowdown shows against it. Not thread-safe.
class usual_times {
public:
    /// Records the time of one served statement.
    void record(const std::string& kind, clock::duration elapsed, clock::time_point now);

    /// Returns the usual time of the kind; 0 before the first statement.
    [[nodiscard]] clock::duration of(const std::string& kind) const;

private:
    struct estimate {
        double seconds = 0;
        int samples = 0;
        clock::time_point updated{};
    };

    std::map<std::string, estimate> m_estimates;
};

} // namespace oriole::scheduling

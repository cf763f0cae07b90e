#pragma once

#include "base/random_source.h"

#include <cstddef>
#include <memory>
#include <string>

namespace oriole::load {

enum class request_kind {
    read,        ///< rows of the session
    recent_read, ///< rows of the session, which may be stale up to a stated age
    write,       ///< stores a new value in a row
    increment    ///< adds 1 to a counter
};

/// The mix of requests and the course of the rate that one application's callers produce. Not
/// thread-safe.
class traffic_profile {
public:
    virtual ~traffic_profile() = default;

    [[nodiscard]] virtual request_kind next_kind(random_source& random) = 0;

    /// Number of rows that a read of this kind asks for.
    [[nodiscard]] virtual std::size_t rows_per_read(request_kind kind) const = 0;

    /// The rate divided by the mean rate, when the fraction `progress` (0 to 1) of the load has
    /// passed.
    [[nodiscard]] virtual double rate_factor(double progress) const = 0;
};

/// `name` is stillwasser, little-sprout or plain; other names give a null pointer. `read_share` is
/// the fraction of reads among the requests.
[[nodiscard]] std::unique_ptr<traffic_profile> make_traffic_profile(const std::string& name,
                                                                    double read_share);

/// A random number, uniformly distributed in [0, 1).
[[nodiscard]] double uniform(random_source& random);

} // namespace oriole::load

#pragma once

#include "base/types/finding.h"
#include "site/types/located_site.h"

#include <memory>

namespace oriole::site {

/// Whether a configuration may leave a database without a majority of servers in service.
enum class majority_loss_policy { refuse, allow };

/// Checks the objects of a configuration for consistency with one another. Thread-safe.
class site_checker {
public:
    virtual ~site_checker() = default;

    /// Returns all findings, sorted by source position. A database that loses its majority because
    /// zones or servers are out of service is an error if `policy` is `refuse`, else a warning.
    [[nodiscard]] virtual findings check(const located_site& site,
                                         majority_loss_policy policy) const = 0;
};

[[nodiscard]] std::unique_ptr<site_checker> make_site_checker();

} // namespace oriole::site

#pragma once

#include "site/site_checker.h"

namespace oriole::site {

class standard_site_checker final : public site_checker {
public:
    [[nodiscard]] findings check(const located_site& site,
                                 majority_loss_policy policy) const override;
};

} // namespace oriole::site

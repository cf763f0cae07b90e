#pragma once

#include "base/types/name.h"

#include <utility>

namespace oriole::zones {

/// A region, which groups availability zones that are close to one another. Immutable.
class region {
public:
    explicit region(region_name name) : m_name(std::move(name)) {}

    [[nodiscard]] const region_name& name() const noexcept { return m_name; }

    friend auto operator<=>(const region&, const region&) = default;

private:
    region_name m_name;
};

} // namespace oriole::zones

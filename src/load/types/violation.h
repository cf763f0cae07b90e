#pragma once

#include <compare>
#include <string>
#include <vector>

namespace oriole::load {

/// A violated property with the descriptions of the requests that prove it.
struct violation {
    std::string property;
    std::string detail;
    std::vector<std::string> requests;

    friend auto operator<=>(const violation&, const violation&) = default;
};

} // namespace oriole::load

#pragma once

#include <string_view>

namespace oriole {

/// Whether operators have set an availability zone or backend server in or out of service.
enum class service_state { in, out };

[[nodiscard]] constexpr std::string_view to_string(service_state value) noexcept {
    return value == service_state::in ? "in" : "out";
}

} // namespace oriole

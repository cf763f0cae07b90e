#pragma once

#include <string_view>

namespace oriole::machines {

enum class server_role { primary, replica };

[[nodiscard]] constexpr std::string_view to_string(server_role value) noexcept {
    return value == server_role::primary ? "primary" : "replica";
}

} // namespace oriole::machines

#pragma once

#include <string_view>

namespace oriole::scheduling {

/// Why a server was ejected, for logs.
enum class ejection_reason { none, failures, slow };

[[nodiscard]] std::string_view to_string(ejection_reason reason) noexcept;

} // namespace oriole::scheduling

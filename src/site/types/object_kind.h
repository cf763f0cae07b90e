#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace oriole::site {

/// The kinds of objects in an operator's configuration.
enum class object_kind {
    region,
    availability_zone,
    backend_server,
    database,
    rate,
    client_account,
    key,
    service
};

inline constexpr std::array all_object_kinds{object_kind::region,
                                             object_kind::availability_zone,
                                             object_kind::backend_server,
                                             object_kind::database,
                                             object_kind::rate,
                                             object_kind::client_account,
                                             object_kind::key,
                                             object_kind::service};

/// The kind as it is written in YAML and JSON.
[[nodiscard]] constexpr std::string_view to_string(object_kind value) noexcept {
    constexpr std::array<std::string_view, all_object_kinds.size()> names{"region",
                                                                          "availability-zone",
                                                                          "backend-server",
                                                                          "database",
                                                                          "rate",
                                                                          "client-account",
                                                                          "key",
                                                                          "service"};
    return names.at(static_cast<std::size_t>(value));
}

[[nodiscard]] constexpr std::optional<object_kind> to_object_kind(std::string_view text) noexcept {
    for (const auto kind : all_object_kinds) {
        if (to_string(kind) == text) {
            return kind;
        }
    }
    return std::nullopt;
}

} // namespace oriole::site

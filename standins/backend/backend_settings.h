#pragma once

#include "base/types/endpoint.h"
#include "database_server.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriole::standins {

/// The command-line options of oriole-backend.
struct backend_settings {
    endpoint statement_endpoint;
    endpoint control_endpoint;
    database_settings database;
    std::optional<std::uint64_t> primary_of_term;
    std::vector<links::member_address> members;
    std::optional<links::follow_request> follow;
    std::uint32_t connection_limit = 0;
    std::chrono::milliseconds connect_delay{0};
    std::chrono::microseconds service_time{0};
};

/// Parses the command line. None when --help was given and the help text was printed. Throws
/// invalid_input.
[[nodiscard]] std::optional<backend_settings> parse_settings(int argument_count,
                                                             const char* const* arguments);

} // namespace oriole::standins

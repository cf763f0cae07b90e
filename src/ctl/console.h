#pragma once

#include <ostream>
#include <string>

namespace oriole::ctl {

enum class output_format { text, json };

/// The output streams of a command. Results go to `out`. Findings go to `err` as text, or to `out`
/// when the format is JSON. Not thread-safe.
struct console {
    std::ostream& out;
    std::ostream& err;
    output_format format = output_format::text;

    [[nodiscard]] bool json() const noexcept { return format == output_format::json; }
};

} // namespace oriole::ctl

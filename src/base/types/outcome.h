#pragma once

#include <string_view>

namespace oriole {

/// Whether an answered request was executed.
enum class outcome {
    done,    ///< the request was executed; its complete result is in the answer
    not_run, ///< the request was not executed and will not be
    unknown  ///< the request may have been executed; its request id can be looked up
};

/// The value of the Oriole-Outcome header of an answer.
[[nodiscard]] constexpr std::string_view to_string(outcome value) noexcept {
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace oriole

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace oriole::site {

/// The candidate with the smallest edit distance from `text`; empty if no candidate is close enough
/// for `text` to be a likely misspelling of it.
[[nodiscard]] std::string nearest_name(std::string_view text,
                                       const std::vector<std::string>& candidates);

/// Text to append to an error message: "; did you mean 'NEAREST'?", else a list of the candidates
/// if none is similar, else an empty string if there are no candidates.
[[nodiscard]] std::string suggestion(std::string_view text,
                                     const std::vector<std::string>& candidates);

} // namespace oriole::site

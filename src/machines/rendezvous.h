#pragma once

#include "machines/types/instance.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace oriole::machines {

/// Rendezvous hash (highest random weight) of a candidate for an object. It is the same on all
/// instances and independent for each pair, so that the removal of a candidate reassigns only that
/// candidate's objects. Thread-safe.
[[nodiscard]] std::uint64_t rendezvous_score(std::string_view object, std::string_view candidate);

/// Sorts instances by their rendezvous score for an object, lowest score (rank 0) first.
void rank_by_rendezvous(std::vector<instance>& instances, std::string_view object);

} // namespace oriole::machines

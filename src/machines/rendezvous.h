#pragma once

#include "machines/types/instance.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace oriole::machines {

/// Rendezvous hash of a candidate for an object: the same on all instances, and independent for
/// each pair, so that a candidate's departure moves only its own objects. Thread-safe.
[[nodiscard]] std::uint64_t rendezvous_score(std::string_view object, std::string_view candidate);

/// Sorts instances by their rendezvous rank for an object, lowest rank first.
void rank_by_rendezvous(std::vector<instance>& instances, std::string_view object);

} // namespace oriole::machines

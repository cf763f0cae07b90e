#pragma once

#include <chrono>

namespace oriole::usage {

/// Interval of the deliveries of counts to the collectors of the zone. A killed instance loses the
/// counts of up to this time and of the hand-over between its threads: together less than a tenth
/// of a window of 5 s.
inline constexpr std::chrono::milliseconds delivery_interval{200};
/// Interval of the relays between zones. When all collectors of a zone are killed, the counts of
/// its killed instances are lost back to the last relay. A shorter interval means more bytes
/// between zones.
inline constexpr std::chrono::milliseconds relay_interval{1000};

} // namespace oriole::usage

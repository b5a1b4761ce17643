#pragma once

#include <algorithm>
#include <chrono>

namespace carawayrelay {

// Number of a backend server's slots that may be in use when batch items start
// there, at its pace (1.7: work takes 1.7 times as long as usual).
inline int SlotsAtPace(int slots, double pace) {
  return pace <= 1
             ? slots
             : std::max(1, static_cast<int>(static_cast<double>(slots) / pace));
}

// Whether a run that usually takes `run_time` would end within `time_left` on a
// backend server of the usual pace, but not at this pace.
inline bool FitsOnlyElsewhere(std::chrono::milliseconds run_time,
                              double pace,
                              std::chrono::milliseconds time_left) {
  return run_time <= time_left && run_time * pace > time_left;
}

}  // namespace carawayrelay

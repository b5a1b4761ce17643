#pragma once

#include "request/boot_clock.h"

namespace carawayrelay {

// The time of the step that the deciding thread runs: all decisions of one
// step see the same time. The loop of the thread sets it, and so do tests.
class EventLoopClock {
 public:
  void Set(TimePoint now) { now_ = now; }
  TimePoint now() const { return now_; }

 private:
  TimePoint now_{};
};

}  // namespace carawayrelay

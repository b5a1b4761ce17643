#pragma once

#include "request/boot_clock.h"

namespace carawayrelay {

// Time of the current iteration of the event loop. All decisions of one
// iteration use the same time. Set by the event loop thread and by tests; not
// thread-safe.
class EventLoopClock {
 public:
  void Set(TimePoint now) { now_ = now; }
  TimePoint now() const { return now_; }

 private:
  TimePoint now_{};
};

}  // namespace carawayrelay

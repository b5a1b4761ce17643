#pragma once

#include <chrono>

#include "request/boot_clock.h"

namespace carawayrelay {

// What decides how long a request may wait for the rate of its workspace.
struct RateWaitInput {
  TimePoint arrived{};
  TimePoint deadline{};
  // Time within which the first part of the response is due; 0 when the route
  // has none.
  std::chrono::milliseconds latency_target{0};
  // The client was refused before and has come back.
  bool is_returning = false;
};

// Until when a request waits instead of being refused.
struct RateWaitLimits {
  // While the rate is not in use or not whole.
  TimePoint settling_until{};
  // While its workspace is over the whole rate.
  TimePoint exceeded_until{};
};

// Returns how long a request waits for its rate.
//
// Answers the load after many frontends failed, when rates cannot be used for a
// short time and many clients come back at once. A new request is refused soon,
// because its client can still come back and be served as if it were new. One
// that comes back has no further try, so it waits for a part of the time that
// it has left: served late is better than not at all. Where the workspace is
// over its whole rate, what is granted to a late request is taken from one that
// could be in time, so none waits beyond its latency target.
RateWaitLimits RateWaitLimitsOf(const RateWaitInput& input);

}  // namespace carawayrelay

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

// Returns until when a request waits for its rate instead of being refused.
//
// Answers the load after many frontends failed, when rates cannot be used for a
// short time and many clients come back at once. A new request is refused soon,
// because its client can still come back and be served as if it were new. One
// that comes back has no further try, so it waits for a part of the time that
// it has left: served late is better than not at all.
TimePoint RateWaitLimit(const RateWaitInput& input);

}  // namespace carawayrelay

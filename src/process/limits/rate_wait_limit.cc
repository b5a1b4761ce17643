#include "process/limits/rate_wait_limit.h"

#include <algorithm>

namespace carawayrelay {
namespace {

// Fraction of the latency target within which a refusal costs a client little.
constexpr double kPromptFraction = 0.25;
// Fraction of the time left that a request which came back may wait. The rest
// is enough to run it.
constexpr double kReturningFraction = 0.4;
constexpr std::chrono::milliseconds kMaxReturningWait{1500};

Duration Part(double fraction, Duration whole) {
  return std::chrono::duration_cast<Duration>(fraction * whole);
}

}  // namespace

TimePoint RateWaitLimit(const RateWaitInput& input) {
  const Duration left = std::max(input.deadline - input.arrived, Duration(0));
  const Duration longest = Part(kReturningFraction, left);
  const Duration wait =
      input.is_returning
          ? std::min<Duration>(longest, kMaxReturningWait)
          : std::min(longest, Part(kPromptFraction, input.latency_target));
  return input.arrived + wait;
}

}  // namespace carawayrelay

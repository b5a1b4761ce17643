#include "process/limits/rate_wait_limit.h"

#include <algorithm>

namespace carawayrelay {
namespace {

// Fraction of the latency target within which a refusal costs a client little.
constexpr double kPromptFraction = 0.25;
// Fraction of the latency target after which a request can still be in time.
constexpr double kInTimeFraction = 0.5;
// Fraction of the time left that a request which came back may wait. The rest
// is enough to run it.
constexpr double kReturningFraction = 0.4;
constexpr std::chrono::milliseconds kMaxReturningWait{1500};

Duration Part(double fraction, Duration whole) {
  return std::chrono::duration_cast<Duration>(fraction * whole);
}

}  // namespace

RateWaitLimits RateWaitLimitsOf(const RateWaitInput& input) {
  const Duration left = std::max(input.deadline - input.arrived, Duration(0));
  const Duration longest = Part(kReturningFraction, left);
  const Duration prompt =
      std::min(longest, Part(kPromptFraction, input.latency_target));
  if (!input.is_returning) {
    return {.settling_until = input.arrived + prompt,
            .exceeded_until = input.arrived + prompt};
  }
  const Duration in_time =
      std::min(longest, Part(kInTimeFraction, input.latency_target));
  return {.settling_until =
              input.arrived + std::min<Duration>(longest, kMaxReturningWait),
          .exceeded_until = input.arrived + in_time};
}

}  // namespace carawayrelay

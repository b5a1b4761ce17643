#pragma once

#include <algorithm>
#include <chrono>

namespace carawayrelay {

// Delays between polls of the store. While the store is unavailable, the delay
// grows only to kMaxDelay, because a change of configuration must be in effect
// within seconds after the store is available again. The jitter keeps the
// entries from polling at the same moment.
class PollBackoff {
 public:
  static constexpr std::chrono::milliseconds kInterval{1000};
  static constexpr std::chrono::milliseconds kMaxDelay{2000};
  static constexpr double kGrowth = 1.5;
  static constexpr double kJitter = 0.2;

  // `random` is uniformly distributed in [0, 1).
  std::chrono::milliseconds Next(bool poll_succeeded, double random) {
    delay_ = poll_succeeded
                 ? std::chrono::duration<double, std::milli>(kInterval)
                 : std::min<std::chrono::duration<double, std::milli>>(
                       delay_ * kGrowth, kMaxDelay);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        delay_ * (1 - kJitter * random));
  }

 private:
  std::chrono::duration<double, std::milli> delay_ = kInterval;
};

}  // namespace carawayrelay

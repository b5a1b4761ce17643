#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/forward/attempt_outcome.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Compares the durations of each attempt with the median of the recent attempts
// of its service, for backend servers that send no pace figure. Must be used on
// the event loop thread only.
class ObservedPace {
 public:
  // Records the attempt. Returns its duration relative to the median: the mean
  // of the ratios of the time to the first event and of the time between
  // events. Returns std::nullopt if the attempt was not answered or had fewer
  // than two events, or if there are too few attempts for a median.
  std::optional<double> Add(const AttemptOutcome& outcome);

 private:
  struct Durations {
    std::vector<Duration> first_events;
    std::vector<Duration> gaps;  // mean time between two events
    size_t next = 0;             // position of the oldest sample
  };

  static constexpr size_t kMaxSamples = 64;
  static constexpr size_t kMinSamples = 16;

  std::map<std::string, Durations> services_;
};

}  // namespace carawayrelay

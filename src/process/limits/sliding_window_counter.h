#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "request/boot_clock.h"

namespace carawayrelay {

// Counts events of the last kWindow. The time is divided into slices; the sum
// includes the whole slice in which the window begins, so it is never too low.
class SlidingWindowCounter {
 public:
  static constexpr std::chrono::milliseconds kWindow{5000};

  void Add(TimePoint now);
  // Returns the number of events in the last kWindow, or up to one slice more.
  std::int64_t Sum(TimePoint now);

 private:
  static constexpr std::chrono::milliseconds kSlice{500};
  static constexpr std::int64_t kSlices = kWindow / kSlice + 1;

  void Advance(TimePoint now);

  std::array<std::int64_t, kSlices> slices_{};
  std::int64_t slice_ = 0;
};

}  // namespace carawayrelay

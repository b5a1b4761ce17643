#include "process/limits/sliding_window_counter.h"

#include <algorithm>
#include <numeric>

namespace carawayrelay {

void SlidingWindowCounter::Advance(TimePoint now) {
  const std::int64_t slice = now.time_since_epoch() / kSlice;
  for (std::int64_t i = std::max(slice_ + 1, slice - kSlices + 1); i <= slice;
       ++i) {
    slices_[static_cast<size_t>(i % kSlices)] = 0;
  }
  slice_ = slice;
}

void SlidingWindowCounter::Add(TimePoint now) {
  Advance(now);
  slices_[static_cast<size_t>(slice_ % kSlices)] += 1;
}

std::int64_t SlidingWindowCounter::Sum(TimePoint now) {
  Advance(now);
  return std::accumulate(slices_.begin(), slices_.end(), std::int64_t{0});
}

}  // namespace carawayrelay

#include "process/rollout/duration_histogram.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawayrelay {
namespace {

constexpr double kGrowth = 1.15;

}  // namespace

size_t DurationHistogram::BucketOf(Duration duration) {
  const double ms = std::chrono::duration<double, std::milli>(duration).count();
  if (ms <= 1) {
    return 0;
  }
  const auto bucket = static_cast<size_t>(std::log(ms) / std::log(kGrowth));
  return std::min(bucket, kBuckets - 1);
}

void DurationHistogram::Merge(const DurationHistogram& other) {
  for (size_t i = 0; i < kBuckets; ++i) {
    counts_[i] += other.counts_[i];
  }
  total_ += other.total_;
}

size_t DurationHistogram::QuantileBucket(double fraction) const {
  double below = 0;
  for (size_t i = 0; i < kBuckets; ++i) {
    below += static_cast<double>(counts_[i]);
    if (below >= fraction * static_cast<double>(total_)) {
      return i;
    }
  }
  return kBuckets - 1;
}

std::uint64_t DurationHistogram::CountAbove(size_t bucket) const {
  std::uint64_t count = 0;
  for (size_t i = bucket + 1; i < kBuckets; ++i) {
    count += counts_[i];
  }
  return count;
}

}  // namespace carawayrelay

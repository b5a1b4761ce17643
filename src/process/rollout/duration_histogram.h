#pragma once

#include <array>
#include <cstdint>

#include "request/boot_clock.h"

namespace carawayrelay {

// Counts durations in fixed buckets whose bounds grow by 15% each, from 1 ms to
// 36 s. All processes use the same buckets, so that counts can be added.
class DurationHistogram {
 public:
  static constexpr size_t kBuckets = 76;
  // Buckets between a duration and twice that duration.
  static constexpr size_t kBucketsPerDoubling = 5;

  static size_t BucketOf(Duration duration);

  void Add(Duration duration) { AddCount(BucketOf(duration), 1); }
  void AddCount(size_t bucket, std::uint64_t count) {
    counts_[bucket] += count;
    total_ += count;
  }
  void Merge(const DurationHistogram& other);
  std::uint64_t total() const { return total_; }
  const std::array<std::uint64_t, kBuckets>& counts() const { return counts_; }
  // Returns the bucket below or in which `fraction` of the durations lie.
  size_t QuantileBucket(double fraction) const;
  // Returns the number of durations in buckets above `bucket`.
  std::uint64_t CountAbove(size_t bucket) const;

  friend bool operator==(const DurationHistogram&,
                         const DurationHistogram&) = default;

 private:
  std::array<std::uint64_t, kBuckets> counts_{};
  std::uint64_t total_ = 0;
};

}  // namespace carawayrelay

#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "connection/health_report.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Answers and failures of one backend server in the last
// `kHealthEvidenceWindow`, as this process saw them.
class EvidenceWindow {
 public:
  void AddAnswer(TimePoint now);
  void AddFailure(TimePoint now);

  int answers(TimePoint now) const { return Sum(&Bucket::answers, now); }
  int failures(TimePoint now) const { return Sum(&Bucket::failures, now); }
  std::optional<TimePoint> last_answer() const { return last_answer_; }
  std::optional<TimePoint> last_failure() const { return last_failure_; }
  // Returns the number of failures later than `time`, at most
  // `kKeptFailures`.
  int FailuresAfter(TimePoint time) const;

  static constexpr size_t kKeptFailures = 8;

 private:
  static constexpr size_t kBuckets = 10;
  static constexpr std::chrono::milliseconds kBucketTime =
      kHealthEvidenceWindow / kBuckets;

  struct Bucket {
    std::int64_t number = -1;  // of the bucket time since the clock's epoch
    int answers = 0;
    int failures = 0;
  };

  static std::int64_t NumberOf(TimePoint time) {
    return time.time_since_epoch() / kBucketTime;
  }
  Bucket& BucketAt(TimePoint now);
  int Sum(int Bucket::*count, TimePoint now) const;

  std::array<Bucket, kBuckets> buckets_{};
  std::optional<TimePoint> last_answer_;
  std::optional<TimePoint> last_failure_;
  // Times of the latest failures, as a ring.
  std::array<TimePoint, kKeptFailures> failure_times_{};
  size_t next_failure_ = 0;
};

}  // namespace carawayrelay

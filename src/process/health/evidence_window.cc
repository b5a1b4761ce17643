#include "process/health/evidence_window.h"

#include <algorithm>

namespace carawayrelay {

EvidenceWindow::Bucket& EvidenceWindow::BucketAt(TimePoint now) {
  const std::int64_t number = NumberOf(now);
  Bucket& bucket = buckets_[static_cast<size_t>(number) % kBuckets];
  if (bucket.number != number) {
    bucket = {.number = number};
  }
  return bucket;
}

void EvidenceWindow::AddAnswer(TimePoint now) {
  ++BucketAt(now).answers;
  last_answer_ = now;
}

void EvidenceWindow::AddFailure(TimePoint now) {
  ++BucketAt(now).failures;
  last_failure_ = now;
  failure_times_[next_failure_] = now;
  next_failure_ = (next_failure_ + 1) % kKeptFailures;
}

int EvidenceWindow::FailuresAfter(TimePoint time) const {
  return static_cast<int>(
      std::count_if(failure_times_.begin(), failure_times_.end(),
                    [&](TimePoint at) { return at > time; }));
}

int EvidenceWindow::Sum(int Bucket::*count, TimePoint now) const {
  const std::int64_t oldest =
      NumberOf(now) - static_cast<std::int64_t>(kBuckets);
  int sum = 0;
  for (const Bucket& bucket : buckets_) {
    sum += bucket.number > oldest ? bucket.*count : 0;
  }
  return sum;
}

}  // namespace carawayrelay

#include "process/pace/observed_pace.h"

#include <algorithm>

namespace carawayrelay {
namespace {

using Seconds = std::chrono::duration<double>;

// Durations are compared from this on, so that a ratio of two short ones does
// not count as a difference.
constexpr std::chrono::milliseconds kMinDuration{1};

double RatioToMedian(Duration value, std::vector<Duration> samples) {
  const auto middle =
      samples.begin() + static_cast<std::ptrdiff_t>(samples.size() / 2);
  std::nth_element(samples.begin(), middle, samples.end());
  return Seconds(std::max<Duration>(value, kMinDuration)) /
         Seconds(std::max<Duration>(*middle, kMinDuration));
}

}  // namespace

std::optional<double> ObservedPace::Add(const AttemptOutcome& outcome) {
  if (outcome.result != AttemptResult::kAnswered || !outcome.first_event ||
      outcome.events < 2) {
    return std::nullopt;
  }
  const Duration first_event = *outcome.first_event;
  const Duration gap = (outcome.total - first_event) /
                       static_cast<Duration::rep>(outcome.events - 1);
  Durations& known = services_[outcome.service];
  std::optional<double> ratio;
  if (known.first_events.size() >= kMinSamples) {
    ratio = (RatioToMedian(first_event, known.first_events) +
             RatioToMedian(gap, known.gaps)) /
            2;
  }
  if (known.first_events.size() < kMaxSamples) {
    known.first_events.push_back(first_event);
    known.gaps.push_back(gap);
  } else {
    known.first_events[known.next] = first_event;
    known.gaps[known.next] = gap;
    known.next = (known.next + 1) % kMaxSamples;
  }
  return ratio;
}

}  // namespace carawayrelay

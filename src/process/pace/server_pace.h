#pragma once

#include <chrono>
#include <optional>

#include "request/boot_clock.h"

namespace carawayrelay {

// How long work is expected to take on a backend server, relative to the usual
// time.
struct PaceEstimate {
  double pace = 1;  // 1.7: 1.7 times as long as usual
  // Standard deviation of the pace that the estimate cannot tell.
  double deviation = 0;
  // Time since the newest sample; std::nullopt without any.
  std::optional<Duration> age;
};

// Mean and variance of samples that lose half of their weight in each
// half-life.
class DecayingMean {
 public:
  explicit DecayingMean(Duration half_life) : half_life_(half_life) {}

  void Add(double value, TimePoint now);
  // Number of samples, each with the weight that is left of it.
  double WeightAt(TimePoint now) const;
  double mean() const { return mean_; }
  double Variance() const;

 private:
  Duration half_life_;
  TimePoint updated_at_{};
  double weight_ = 0;
  double mean_ = 0;
  double squares_ = 0;  // weighted sum of squared distances from the mean
};

// Estimates the pace of one backend server from the figures that it sends. If
// it sends none, the estimate comes from the durations that this process
// observed. Without recent samples of either kind the estimate is the usual
// pace. Must be used on the event loop thread only.
class ServerPace {
 public:
  // Records a figure that the backend server sent.
  void AddFigure(double pace, TimePoint now);
  // Records how long a run took relative to the median of the service.
  void AddObservation(double pace, TimePoint now);

  // Pace at this moment. A figure is close to it for about a tenth of a second;
  // the mean of the recent figures applies later.
  PaceEstimate Estimate(TimePoint now) const;
  // Mean pace of the last seconds, for work that lasts as long.
  double RecentMean(TimePoint now) const;
  // Whether the backend server sent a figure recently.
  bool HasFigures(TimePoint now) const;

 private:
  // Half-lives: figures change several times a second, and one frontend sees a
  // response of the same server only every few seconds.
  static constexpr std::chrono::seconds kFigureHalfLife{1};
  static constexpr std::chrono::seconds kObservationHalfLife{10};

  double latest_figure_ = 1;
  std::optional<TimePoint> figure_at_;
  DecayingMean figures_{kFigureHalfLife};
  std::optional<TimePoint> observed_at_;
  DecayingMean observations_{kObservationHalfLife};
};

}  // namespace carawayrelay

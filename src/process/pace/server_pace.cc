#include "process/pace/server_pace.h"

#include <algorithm>
#include <cmath>

namespace carawayrelay {
namespace {

using Seconds = std::chrono::duration<double>;

// Time in which the newest figure loses half of its weight against the mean.
// Paces last 100 to 400 ms; with 100 ms, figures that arrive late cost more
// than fresh ones gain (pace_selection_test).
constexpr Seconds kNewestHalfLife{0.06};
// Weight of the usual pace against the samples, in samples. It makes few or old
// samples count little.
constexpr double kUsualPaceWeight = 3;
// Observations vary with the prompts. Several are needed before they count.
constexpr double kMinObservations = 3;
// Differences of the observed mean below this are taken for noise.
constexpr double kObservationDeadBand = 0.25;
// Sending no figure for this long means that the backend server sends none.
constexpr std::chrono::seconds kFiguresLimit{10};
constexpr double kMinObservation = 0.25;
constexpr double kMaxObservation = 4;

double Decay(Duration age, Seconds half_life) {
  return std::exp2(-std::max(0.0, Seconds(age) / half_life));
}

}  // namespace

void DecayingMean::Add(double value, TimePoint now) {
  const double kept = Decay(now - updated_at_, half_life_);
  weight_ = weight_ * kept + 1;
  squares_ *= kept;
  const double before = value - mean_;
  mean_ += before / weight_;
  squares_ += before * (value - mean_);
  updated_at_ = now;
}

double DecayingMean::WeightAt(TimePoint now) const {
  return weight_ * Decay(now - updated_at_, half_life_);
}

double DecayingMean::Variance() const {
  return weight_ > 0 ? squares_ / weight_ : 0;
}

void ServerPace::AddFigure(double pace, TimePoint now) {
  latest_figure_ = pace;
  figure_at_ = now;
  figures_.Add(pace, now);
}

void ServerPace::AddObservation(double pace, TimePoint now) {
  observed_at_ = now;
  observations_.Add(std::clamp(pace, kMinObservation, kMaxObservation), now);
}

bool ServerPace::HasFigures(TimePoint now) const {
  return figure_at_ && now - *figure_at_ < kFiguresLimit;
}

double ServerPace::RecentMean(TimePoint now) const {
  const bool has_figures = HasFigures(now);
  const DecayingMean& samples = has_figures ? figures_ : observations_;
  const double weight = samples.WeightAt(now);
  if (!has_figures && (weight < kMinObservations ||
                       std::abs(samples.mean() - 1) < kObservationDeadBand)) {
    return 1;
  }
  return 1 + (samples.mean() - 1) * weight / (weight + kUsualPaceWeight);
}

PaceEstimate ServerPace::Estimate(TimePoint now) const {
  PaceEstimate estimate{.pace = RecentMean(now)};
  if (!HasFigures(now)) {
    if (observed_at_) {
      estimate.age = now - *observed_at_;
    }
    return estimate;
  }
  estimate.age = now - *figure_at_;
  const double newest_weight = Decay(*estimate.age, kNewestHalfLife);
  const double samples_weight = figures_.WeightAt(now);
  estimate.pace += newest_weight * (latest_figure_ - estimate.pace);
  estimate.deviation =
      std::sqrt((1 - newest_weight) * figures_.Variance() * samples_weight /
                (samples_weight + kUsualPaceWeight));
  return estimate;
}

}  // namespace carawayrelay

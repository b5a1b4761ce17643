#include "process/health/health_judgement.h"

#include <algorithm>
#include <cmath>

namespace carawayrelay {
namespace {

// Normal quantile of 95%.
constexpr double kZ = 1.645;
// Share judgements need this many outcomes. Frontends report failures at once
// and answers later, so that a share of fewer is too high.
constexpr int kMinOutcomes = 8;
// A share counts as bad when its lower bound is over a floor and over a
// multiple of the others' share.
constexpr double kEjectFloor = 0.45;
constexpr double kReduceFloor = 0.12;
constexpr double kBackgroundFactor = 2;
constexpr double kBackgroundMargin = 0.05;
// Requests to a reduced backend server fall linearly with its failure share and
// reach the minimum at half.
constexpr double kWeightSlope = 1.8;
constexpr double kMinWeight = 0.1;
// Without others that confirm them, own failures suffice from this number on.
constexpr int kOwnFailuresAlone = 5;
// A frontend with this many answers and no failure of its own does not eject:
// the failures concern other callers.
constexpr int kOwnAnswersAgainst = 3;
// Streaks.
constexpr int kMinStreak = 2;
constexpr int kMaxStreak = 8;
constexpr int kStreakWithFailures = 3;
constexpr int kStreakWithManyFailures = 4;
// With fewer known answers of the service, there is little to compare with.
// Soon after the start of 28 frontends, the first two failures in a row of a
// backend server that loses 5% of its answers looked like a dark one.
constexpr int kMinComparedAnswers = 8;
// Fraction of the backend servers with failures among answers above which
// failures are common.
constexpr double kCommonFraction = 0.1;
// Probability that a backend server with common failures shows a streak by
// chance at a given request.
constexpr double kChanceStreak = 1e-5;
constexpr double kMinCommonShare = 0.02;
constexpr double kMaxCommonShare = 0.6;

// Returns the lower median, or 0 if there are no values.
double MedianOf(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool IsConfirmed(const ServerSummary& server) {
  return server.reporters >= 2 ||
         (server.reporters >= 1 && server.own_failures > 0) ||
         server.own_failures >= kOwnFailuresAlone;
}

}  // namespace

double FailureShareLowerBound(int failures, int total) {
  if (total <= 0) {
    return 0;
  }
  const double n = total;
  const double share = failures / n;
  const double z2 = kZ * kZ;
  const double center = share + z2 / (2 * n);
  const double spread =
      kZ * std::sqrt(share * (1 - share) / n + z2 / (4 * n * n));
  return std::max(0.0, (center - spread) / (1 + z2 / n));
}

ServiceBackground BackgroundOf(const std::vector<ServerSummary>& servers) {
  std::vector<double> shares;
  std::vector<double> common;
  int answers = 0;
  for (const ServerSummary& server : servers) {
    answers += server.answers;
    if (server.IsFailing()) {
      continue;
    }
    shares.push_back(server.FailureShare());
    if (server.failures > 0) {
      common.push_back(server.FailureShare());
    }
  }
  ServiceBackground background{.failure_share = MedianOf(shares)};
  if (!common.empty() || answers < kMinComparedAnswers) {
    background.min_streak = kStreakWithFailures;
  }
  if (common.empty()) {
    return background;
  }
  if (static_cast<double>(common.size()) >=
      kCommonFraction * static_cast<double>(servers.size())) {
    const double share =
        std::clamp(MedianOf(common), kMinCommonShare, kMaxCommonShare);
    background.min_streak = std::clamp(
        static_cast<int>(std::ceil(std::log(kChanceStreak) / std::log(share))),
        kStreakWithManyFailures, kMaxStreak);
  }
  return background;
}

HealthVerdict Judge(const ServerSummary& server,
                    const ServiceBackground& background) {
  HealthVerdict verdict;
  const int total = server.answers + server.failures;
  const double lower = FailureShareLowerBound(server.failures, total);
  const double usual =
      kBackgroundFactor * background.failure_share + kBackgroundMargin;
  verdict.badness = lower;
  if (!IsConfirmed(server)) {
    return verdict;
  }
  // Failed probes of two frontends suffice.
  const int min_streak = server.is_out ? kMinStreak : background.min_streak;
  if (server.streak >= min_streak && server.streak_sources >= 2) {
    verdict.should_eject = true;
    // Above all shares: a server without answers is the worst.
    verdict.badness = 1 + lower;
    return verdict;
  }
  if (total < kMinOutcomes) {
    return verdict;
  }
  const bool answers_here =
      server.own_failures == 0 && server.own_answers >= kOwnAnswersAgainst;
  verdict.should_eject = lower >= std::max(kEjectFloor, usual) && !answers_here;
  if (lower >= std::max(kReduceFloor, usual)) {
    verdict.weight =
        std::max(kMinWeight, 1 - kWeightSlope * server.FailureShare());
  }
  return verdict;
}

}  // namespace carawayrelay

#include "process/pace/candidate_cost.h"

#include <algorithm>

namespace carawayrelay {
namespace {

// Time to the first event of an idle backend server relative to what a full
// batch adds to it: each step takes longer the more requests run.
constexpr double kIdleTime = 2;
// Above this share of slots, a request waits until another one ends. This takes
// longer than a slower step by this factor.
constexpr double kFullShare = 1;
constexpr double kWaitingFactor = 4;
// Part of the deviation of the pace that counts as slowness. A pause over the
// limit costs the caller more than an early event gains.
constexpr double kRiskFactor = 0.25;

// Penalties in shares of slots.
constexpr double kRemoteZonePenalty = 0.03;
constexpr double kColdPenalty = 0.5;
// A backend server at its limit is preferred to one on which the request would
// wait for a slot.
constexpr double kLimitedPenalty = 1;
constexpr double kAvoidPenalty = 100;

// Time to the first event at the usual pace, by the share of slots in use.
double TimeOfShare(double share) {
  return kIdleTime + share +
         (kWaitingFactor - 1) * std::max(0.0, share - kFullShare);
}

// Inverse of TimeOfShare().
double ShareOfTime(double time) {
  const double share = time - kIdleTime;
  return share <= kFullShare
             ? share
             : kFullShare + (share - kFullShare) / kWaitingFactor;
}

}  // namespace

double CandidateCost(const CandidateState& candidate) {
  double cost = candidate.load / candidate.slots;
  const double pace =
      candidate.pace.pace + kRiskFactor * candidate.pace.deviation;
  // Conversion to a time and back is not exact, so it is left out at the usual
  // pace.
  if (pace != 1) {
    cost = ShareOfTime(pace * TimeOfShare(cost));
  }
  cost += candidate.is_in_other_zone ? kRemoteZonePenalty : 0;
  cost += candidate.is_cold ? kColdPenalty : 0;
  cost += candidate.is_limited ? kLimitedPenalty : 0;
  cost += candidate.is_avoided ? kAvoidPenalty : 0;
  return cost;
}

}  // namespace carawayrelay

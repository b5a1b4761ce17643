#include "process/rollout/rollout_plan.h"

#include <algorithm>

namespace carawayrelay {
namespace {

// Times are fractions of the duration of the rollout. The switch comes late, so
// that a version that turns bad late is found under the canary share, but
// leaves time for streams on the old version to end.
constexpr double kSwitch = 0.68;
// Until then a suspicious version gets more responses before the decision.
constexpr double kSwitchSuspicious = 0.80;
constexpr double kLatestSwitch = 0.88;
// Shortest time under all requests before the old servers may stop.
constexpr double kMinSwitchTime = 0.1;
constexpr double kLatestEnd = 0.92;
// Responses of the new version without which it is not known to be good, and
// the part of those of the old version that is enough where traffic is low.
constexpr double kMinResponses = 20;
constexpr double kMinResponseShare = 0.02;

bool HasEnoughResponses(const RolloutJudgement& judgement) {
  return static_cast<double>(judgement.new_responses) >=
         std::min(
             kMinResponses,
             kMinResponseShare * static_cast<double>(judgement.old_responses));
}

std::optional<RolloutDecision> RollBack(std::string reason) {
  return RolloutDecision{RolloutStep::kRolledBack, std::move(reason)};
}

std::optional<RolloutDecision> NextOfObserve(const RolloutInputs& inputs,
                                             double elapsed) {
  if (inputs.spec != SpecState::kUnchanged) {
    return RollBack(inputs.spec == SpecState::kDeleted
                        ? "the rollout spec was deleted"
                        : "the rollout spec was replaced");
  }
  const RolloutJudgement& judgement = inputs.judgement;
  if (judgement.verdict == RolloutVerdict::kBad) {
    return RollBack(judgement.reason);
  }
  const bool can_switch = inputs.has_reports && inputs.has_new_servers &&
                          HasEnoughResponses(judgement);
  if (can_switch && elapsed >= kSwitch && elapsed < kLatestSwitch &&
      (judgement.verdict == RolloutVerdict::kClear ||
       (judgement.verdict == RolloutVerdict::kSuspicious &&
        elapsed >= kSwitchSuspicious))) {
    return RolloutDecision{RolloutStep::kSwitch, "no difference was found"};
  }
  if (can_switch && elapsed >= kSwitchSuspicious &&
      judgement.verdict == RolloutVerdict::kLikelyBad) {
    return RollBack(judgement.reason);
  }
  if (elapsed < kLatestSwitch) {
    return std::nullopt;
  }
  if (!inputs.has_new_servers) {
    return RollBack("no backend server of the new version is usable");
  }
  return RollBack("too few responses of the new version in time");
}

std::optional<RolloutDecision> NextOfSwitch(const RolloutRow& row,
                                            const RolloutInputs& inputs,
                                            double elapsed) {
  if (inputs.spec == SpecState::kReplaced) {
    return RollBack("the rollout spec was replaced");
  }
  if (inputs.judgement.verdict == RolloutVerdict::kBad) {
    return RollBack(inputs.judgement.reason);
  }
  if (!inputs.has_new_servers) {
    return RollBack("no backend server of the new version is usable");
  }
  const double switched =
      std::chrono::duration<double, std::milli>(inputs.store_now -
                                                row.step_began) /
      std::chrono::duration<double, std::milli>(row.duration);
  if (elapsed >= kLatestEnd) {
    if (inputs.judgement.verdict == RolloutVerdict::kLikelyBad) {
      return RollBack(inputs.judgement.reason);
    }
    return RolloutDecision{RolloutStep::kComplete, "the time is over"};
  }
  if (inputs.has_reports && inputs.is_old_idle && switched >= kMinSwitchTime &&
      inputs.judgement.verdict != RolloutVerdict::kLikelyBad) {
    return RolloutDecision{RolloutStep::kComplete,
                           "no request runs on the old version"};
  }
  return std::nullopt;
}

}  // namespace

std::optional<RolloutDecision> NextStep(const RolloutRow& row,
                                        const RolloutInputs& inputs) {
  const double elapsed =
      std::chrono::duration<double, std::milli>(inputs.store_now -
                                                row.started) /
      std::chrono::duration<double, std::milli>(row.duration);
  switch (row.step) {
    case RolloutStep::kObserve:
      return NextOfObserve(inputs, elapsed);
    case RolloutStep::kSwitch:
      return NextOfSwitch(row, inputs, elapsed);
    case RolloutStep::kComplete:
    case RolloutStep::kRolledBack:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace carawayrelay

#include "request/retry_policy.h"

namespace carawayrelay {

bool CanSucceedOnOtherBackend(RefusalCode code) {
  switch (code) {
    case RefusalCode::kOverloaded:
    case RefusalCode::kNoBackend:
    case RefusalCode::kWindowFull:
    case RefusalCode::kStaleConfig:
    case RefusalCode::kLeaving:
    case RefusalCode::kZoneOut:
    case RefusalCode::kNotReady:
    case RefusalCode::kBackendFailed:
    case RefusalCode::kConnectionLost:
    case RefusalCode::kInternal:
      return true;
    case RefusalCode::kInvalidRequest:
    case RefusalCode::kUnauthorized:
    case RefusalCode::kForbidden:
    case RefusalCode::kNotFound:
    case RefusalCode::kConflict:
    case RefusalCode::kTooLarge:
    case RefusalCode::kHeadersTooLarge:
    case RefusalCode::kRateLimited:
    case RefusalCode::kFenced:
    case RefusalCode::kStoreDown:
    case RefusalCode::kCancelled:
    case RefusalCode::kDeadline:
    case RefusalCode::kQuarantined:
      return false;
  }
  return false;
}

RetryDecision RetryPolicy::Decide(const RequestProgress& progress,
                                  const AttemptFailure& failure) const {
  if (!progress.repeatable || progress.has_output ||
      progress.attempts >= max_attempts ||
      !CanSucceedOnOtherBackend(failure.code)) {
    return RetryDecision::kGiveUp;
  }
  return failure.code == RefusalCode::kStaleConfig
             ? RetryDecision::kRetryAfterConfig
             : RetryDecision::kRetry;
}

bool CountsAsAttempt(const AttemptFailure& failure) {
  return failure.code != RefusalCode::kWindowFull ||
         failure.run_state != RunState::kNotRun;
}

RunState Combine(RunState a, RunState b) {
  if (a == RunState::kRan || b == RunState::kRan) {
    return RunState::kRan;
  }
  if (a == RunState::kUnknown || b == RunState::kUnknown) {
    return RunState::kUnknown;
  }
  return RunState::kNotRun;
}

}  // namespace carawayrelay

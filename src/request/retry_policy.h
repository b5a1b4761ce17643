#pragma once

#include "request/refusal.h"

namespace carawayrelay {

// How one attempt of a request failed.
struct AttemptFailure {
  RefusalCode code = RefusalCode::kInternal;
  RunState run_state = RunState::kUnknown;
};

// What is known of a request when one of its attempts failed.
struct RequestProgress {
  // False when the request must run at most once.
  bool repeatable = true;
  // True once a part of the answer was passed on to the caller.
  bool has_output = false;
  // Attempts so far that count, the failed one included.
  int attempts = 1;
};

enum class RetryDecision {
  kGiveUp,
  kRetry,
  // The agent knows a newer configuration: retry once it is adopted here.
  kRetryAfterConfig,
};

struct RetryPolicy {
  int max_attempts = 3;

  // A request that must run at most once is not retried after hand-over,
  // whatever the failure says, so a wrong run state cannot double it.
  RetryDecision Decide(const RequestProgress& progress,
                       const AttemptFailure& failure) const;
};

// True for failures of one backend server that another one may not have.
bool CanSucceedOnOtherBackend(RefusalCode code);

// False when the agent had no room: the request did not get its turn there and
// goes on waiting, so it does not use up an attempt.
bool CountsAsAttempt(const AttemptFailure& failure);

// Run state of a request with several attempts: a request has not run only
// when no attempt ran.
RunState Combine(RunState a, RunState b);

}  // namespace carawayrelay

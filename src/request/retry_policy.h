#pragma once

#include "request/refusal.h"

namespace carawayrelay {

// How one attempt of a request failed.
struct AttemptFailure {
  RefusalCode code = RefusalCode::kInternal;
  RunState run_state = RunState::kUnknown;
};

// State of a request at the time when one of its attempts failed.
struct RequestProgress {
  // False when the request must run at most once.
  bool repeatable = true;
  // True once a part of the response has been sent to the client.
  bool has_output = false;
  // Number of attempts for which CountsAsAttempt() holds, including the one
  // that just failed.
  int attempts = 1;
};

enum class RetryDecision {
  kGiveUp,
  kRetry,
  // The agent has a newer configuration: retry once this entry has adopted it.
  kRetryAfterConfig,
};

struct RetryPolicy {
  int max_attempts = 3;

  // A request that must run at most once is never retried after it was sent to
  // an agent, even when the failure reports kNotRun, so that a wrong run state
  // cannot make it run twice.
  RetryDecision Decide(const RequestProgress& progress,
                       const AttemptFailure& failure) const;
};

// Returns true when the same request may succeed on another backend server.
bool CanSucceedOnOtherBackend(RefusalCode code);

// Returns false when the agent had no free capacity. The request did not run
// and continues to wait, so the attempt does not count against `max_attempts`.
bool CountsAsAttempt(const AttemptFailure& failure);

// Returns the run state of a request from those of two of its attempts. The
// result is kNotRun only when neither attempt ran.
RunState Combine(RunState a, RunState b);

}  // namespace carawayrelay

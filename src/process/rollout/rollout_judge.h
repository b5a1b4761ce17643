#pragma once

#include <string>

#include "process/rollout/rollout_row.h"
#include "process/rollout/version_report.h"

namespace carawayrelay {

enum class RolloutVerdict {
  kClear,       // nothing speaks against the new version so far
  kSuspicious,  // more responses are needed to tell
  kLikelyBad,   // bad, unless there is time to see more responses
  kBad,
};

struct RolloutJudgement {
  RolloutVerdict verdict = RolloutVerdict::kClear;
  std::string reason;
  std::uint64_t old_responses = 0;
  std::uint64_t new_responses = 0;
};

// Compares the failures and durations of the new version with those of the old
// version in the same period, in total and by route. What only one backend
// server shows does not count against the version. The test is sequential: it
// is meant to be repeated as responses arrive. After the switch only slowness
// of a large part of the responses counts, because the move of all requests
// makes some responses slow for a moment.
RolloutJudgement JudgeVersion(const VersionStatsMap& stats,
                              const std::string& old_version,
                              const std::string& new_version,
                              RolloutStep step);

}  // namespace carawayrelay

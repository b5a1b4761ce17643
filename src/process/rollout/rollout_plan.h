#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "process/rollout/rollout_judge.h"
#include "process/rollout/rollout_row.h"

namespace carawayrelay {

enum class SpecState {
  kUnchanged,
  kDeleted,
  kReplaced,
};

// What the coordinator knows when it decides on the next step.
struct RolloutInputs {
  std::chrono::milliseconds store_now{0};
  SpecState spec = SpecState::kUnchanged;
  bool has_new_servers = false;
  // Whether the reports of the frontends are up to date.
  bool has_reports = false;
  RolloutJudgement judgement;
  // Whether all frontends that reported have switched and have no request on
  // the old version.
  bool is_old_idle = false;
};

struct RolloutDecision {
  RolloutStep step = RolloutStep::kRolledBack;
  std::string reason;
};

// Returns the next step of a rollout that is not over, or nullopt to stay.
std::optional<RolloutDecision> NextStep(const RolloutRow& row,
                                        const RolloutInputs& inputs);

}  // namespace carawayrelay

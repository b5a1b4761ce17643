#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "request/error.h"

namespace carawayrelay {

enum class RolloutStep {
  kObserve,     // the canary version gets its share
  kSwitch,      // all new requests go to the new version
  kComplete,    // the new version is the current one
  kRolledBack,  // the new version gets no requests
};

// Stable name for rows and logs.
const char* ToString(RolloutStep step);

// The row of a service in the table `rollouts`. Times are on the store's clock.
struct RolloutRow {
  std::string current;  // version in use when no rollout runs
  std::string to;
  std::uint64_t spec_version = 0;  // row version of the spec
  RolloutStep step = RolloutStep::kRolledBack;
  std::chrono::milliseconds started{0};
  std::chrono::milliseconds duration{0};
  // When the step began.
  std::chrono::milliseconds step_began{0};
  // The coordinator and the end of its lease.
  std::string owner;
  std::chrono::milliseconds lease_end{0};
  // Whether the status row for the step has been written.
  bool is_published = false;
  std::string reason;  // why the rollout was rolled back

  bool IsOver() const {
    return step == RolloutStep::kComplete || step == RolloutStep::kRolledBack;
  }
  friend bool operator==(const RolloutRow&, const RolloutRow&) = default;
};

std::string EncodeRolloutRow(const RolloutRow& row);
// Fails with kInvalid if `text` is not a complete row.
Result<RolloutRow> DecodeRolloutRow(const std::string& text);

}  // namespace carawayrelay

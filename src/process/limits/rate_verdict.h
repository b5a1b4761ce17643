#pragma once

#include <chrono>
#include <functional>
#include <variant>

namespace carawayrelay {

// The request is within the rate of its workspace.
struct RateAdmitted {};
// The workspace is over its rate.
struct RateExceeded {
  std::chrono::milliseconds retry_after{0};
};
// No frontend that holds the rate answers.
struct RateUnavailable {
  // When the rate is likely to be held again.
  std::chrono::milliseconds retry_after{0};
};
using RateVerdict = std::variant<RateAdmitted, RateExceeded, RateUnavailable>;
using RateVerdictCallback = std::function<void(const RateVerdict&)>;

}  // namespace carawayrelay

#pragma once

#include <optional>
#include <vector>

#include "request/boot_clock.h"

namespace carawayrelay {

// All that is known about one backend server in the window.
struct ServerSummary {
  int answers = 0;   // of all frontends that count
  int failures = 0;  // of all frontends that count
  int own_answers = 0;
  int own_failures = 0;
  // Other frontends that saw failures.
  int reporters = 0;
  // Known failures later than the latest known answer, and the number of
  // frontends that saw them, including this one.
  int streak = 0;
  int streak_sources = 0;
  // Ejected or probed now.
  bool is_out = false;
  std::optional<TimePoint> last_answer;
  std::optional<TimePoint> last_failure;

  // Whether the latest known outcome is a failure.
  bool IsFailing() const {
    return last_failure && (!last_answer || *last_failure > *last_answer);
  }
  double FailureShare() const {
    const int total = answers + failures;
    return total > 0 ? static_cast<double>(failures) / total : 0;
  }
};

// How the backend servers of a service fail that answered last.
struct ServiceBackground {
  // Median of their failure shares.
  double failure_share = 0;
  // Failures in a row, without a known answer, that are not explained by such
  // failures.
  int min_streak = 2;
};

ServiceBackground BackgroundOf(const std::vector<ServerSummary>& servers);

// What the evidence about one backend server shows, before the limit on
// ejections.
struct HealthVerdict {
  // Of the usual requests; 1 if it is not worse than the others.
  double weight = 1;
  bool should_eject = false;
  // Orders backend servers that should be ejected; higher is worse.
  double badness = 0;
};

HealthVerdict Judge(const ServerSummary& server,
                    const ServiceBackground& background);

// Lower end of the Wilson score interval (one-sided, 95%) of a share of
// `failures` in `total`.
double FailureShareLowerBound(int failures, int total);

}  // namespace carawayrelay

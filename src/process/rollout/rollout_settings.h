#pragma once

#include <chrono>

namespace carawayrelay {

// What the operators guarantee about bad versions.
struct RolloutSettings {
  // Largest part of the requests of a service that a bad version may get.
  double share = 0;
  // Requests beyond the share that it may get.
  int slack = 0;
  // Time after the 50th bad response until the version gets no more requests.
  std::chrono::milliseconds deadline{0};

  // The limit that processes keep. The rest of the share covers requests that
  // were counted here but did not reach a backend server.
  double UsedShare() const { return share * 0.8; }
  // A process that has not confirmed the step for this long sends nothing to
  // the canary version: 2 s of a deadline of 5 s.
  std::chrono::milliseconds MaxStepAge() const { return deadline * 2 / 5; }
  std::chrono::milliseconds ReportInterval() const { return deadline / 5; }
};

}  // namespace carawayrelay

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/limits/rate_verdict.h"
#include "process/limits/rate_wait_limit.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// A request that waits until its workspace's rate can admit it.
struct RateWaiter {
  std::string workspace;
  RateWaitLimits limits;
  RateVerdictCallback done;
};

// The requests of one frontend that wait for their rates, by the time at which
// the rate is asked again. The number is bounded, also for each workspace, so
// that one far over its rate leaves places for the others.
//
// Used on the event loop thread.
class RateWaitQueue {
 public:
  // Whether there is a place for one more request of the workspace.
  bool HasPlace(const std::string& workspace) const;
  // Adds a request for which HasPlace() is true.
  void Add(RateWaiter waiter, TimePoint ask_at);
  // Removes and returns the requests whose time has come, earliest first.
  std::vector<RateWaiter> TakeDue(TimePoint now);
  std::optional<TimePoint> NextDue() const;
  size_t size() const { return waiters_.size(); }

 private:
  std::multimap<TimePoint, RateWaiter> waiters_;
  std::map<std::string, size_t> count_by_workspace_;
};

}  // namespace carawayrelay

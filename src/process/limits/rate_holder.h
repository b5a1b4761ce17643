#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "connection/rate_message.h"
#include "process/limits/rate_members.h"
#include "process/limits/sliding_window_counter.h"
#include "request/token_bucket.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Counts the requests of the workspaces whose rates this frontend holds.
//
// A request is granted while two conditions hold. In each window, all granted
// requests are at most the rate times the window plus the burst; this is the
// limit itself. And the token bucket of the workspace has a token; it spreads
// the requests of a workspace that is over its rate over the window. The bucket
// is deeper than the burst, so that random arrivals of a workspace within its
// rate are not refused.
//
// A frontend that begins to hold a rate does not know what the former holder
// granted right before. Its bucket begins almost empty, and what other
// frontends reported as granted counts against the window.
//
// Used on the event loop thread.
class RateHolder {
 public:
  explicit RateHolder(const RateMembers& members) : members_(members) {}

  void SetConfig(ServingConfigPtr config);
  // Decides on a request. A query that comes again, because its answer was
  // lost, gets the same answer and counts once.
  RateDecision Decide(const RateRequest& request, TimePoint now);
  // Returns the requests that were granted in the last window, by workspace.
  std::map<std::string, double> Granted(TimePoint now);

 private:
  struct Usage {
    TokenBucket bucket;
    SlidingWindowCounter granted;
  };

  RateDecision DecideOnce(const RateRequest& request, TimePoint now);
  Usage& UsageOf(const ServingWorkspace& workspace, TimePoint now);

  const RateMembers& members_;
  ServingConfigPtr config_;
  std::map<std::string, Usage> usage_;
  // The latest answers, by query, and their order.
  std::map<RateRequestId, RateDecision> decided_;
  std::deque<RateRequestId> decided_order_;
};

}  // namespace carawayrelay

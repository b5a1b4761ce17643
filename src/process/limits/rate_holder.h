#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "connection/rate_message.h"
#include "process/limits/sliding_window_counter.h"
#include "request/token_bucket.h"
#include "version/serving_config.h"

namespace carawayrelay {

// Returns the shard of the workspace.
size_t RateShardOf(const std::string& workspace);

// Counts the requests of the workspaces whose rates this frontend holds, within
// the parts of the rates that frontends have lent to it.
//
// A request is granted while two conditions hold. In each window, all granted
// requests are at most the rate times the window plus the burst, times the sum
// of the lent parts. And the token bucket of the workspace has a token; its
// rate and depth are multiplied by the same sum. A part that has just been lent
// brings no tokens, because its former holder may have spent them. So the
// grants of all holders together stay within the limit in each window, while
// parts move between them.
//
// Used on the event loop thread.
class RateHolder {
 public:
  void SetConfig(ServingConfigPtr config);
  // Uses the loan, or extends it if its sender has lent the part already.
  void AddLoan(const RateLoan& loan, TimePoint now);
  // Uses no loans of `shards` any more.
  void DropLoans(const RateShardSet& shards, TimePoint now);
  // Uses no loans of the frontend `node` any more that another process than
  // `process` made.
  void DropLoansOf(const std::string& node,
                   RateProcessId process,
                   TimePoint now);
  // Decides on a request. A query that comes again, because its answer was
  // lost, gets the same answer and counts once. The outcome is kUnknown if
  // nothing is lent for the workspace.
  RateDecision Decide(const RateRequest& request, TimePoint now);

 private:
  struct Loan {
    RateProcessId process{0};  // of the lender
    double part = 0;
    TimePoint since{};
    TimePoint until{};
  };
  struct Usage {
    ServingWorkspace workspace;
    TokenBucket bucket;
    SlidingWindowCounter granted;
  };
  struct Shard {
    std::map<std::string, Loan> loans;  // by node of the lender
    double part = 0;                    // sum of the loans
    // Since when the loans are the whole rate; not set while they are less.
    std::optional<TimePoint> whole_since;
    std::map<std::string, Usage> usage;  // by workspace
  };

  RateDecision DecideOnce(const RateRequest& request, TimePoint now);
  // Ends the loans that are over, each at its own time.
  void ExpireLoans(Shard& shard, TimePoint now);
  // Changes the buckets of the shard after its loans changed at `at`.
  static void UpdatePart(Shard& shard, TimePoint at);
  // Whether a workspace may lack tokens because loans were missing a short time
  // ago.
  static bool IsSettling(const Shard& shard, TimePoint now);
  static Usage& UsageOf(Shard& shard,
                        const ServingWorkspace& workspace,
                        TimePoint now);

  ServingConfigPtr config_;
  std::array<Shard, kRateShards> shards_;
  // The latest answers, by query, and their order.
  std::map<RateRequestId, RateDecision> decided_;
  std::deque<RateRequestId> decided_order_;
};

}  // namespace carawayrelay

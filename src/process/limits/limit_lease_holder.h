#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/limits/limit_row.h"

namespace carawayrelay {

// Times of the rate limiter. All processes must use the same values.
struct LimitTimes {
  // Lease of a shard without renewal.
  std::chrono::milliseconds lease{3000};
  // A member may use granted tokens for this long after its ask.
  std::chrono::milliseconds grant_lifetime{1000};
  // A member works from its fallback share once it has had no answer for this
  // long.
  std::chrono::milliseconds live_for{600};
  // Allowance for clocks that run at different speeds.
  std::chrono::milliseconds margin{50};
};

// Grants the tokens of one shard while this process holds its lease.
//
// For each workspace, the tokens in the bucket, the unspent granted tokens and
// the fallback shares of members without contact never exceed the burst, so any
// window of length W sees at most burst + rate * W requests over all VMs.
class LimitLeaseHolder {
 public:
  // `granting_from` must be late enough that grants of a former holder have
  // expired.
  LimitLeaseHolder(int shard,
                   const LimitRow& row,
                   TimePoint lease_until,
                   TimePoint granting_from,
                   LimitTimes times);

  // The store accepted a renewal. A row with a higher fence changes the
  // members; tokens and contacts carry over.
  void Renew(const LimitRow& row, TimePoint lease_until);
  TimePoint lease_until() const { return lease_until_; }
  Fence fence() const { return fence_; }

  // Answers an ask. Nothing is accepted once the lease has expired.
  LimitGrant Handle(const LimitRequest& request,
                    const ConfigSnapshot& config,
                    TimePoint now);

  // Nodes that have acknowledged the fence.
  std::vector<std::string> Acknowledged() const;

 private:
  struct Outstanding {
    double tokens = 0;
    TimePoint expires;
  };
  struct Bucket {
    double tokens = 0;
    TimePoint refilled_at;
    std::map<std::string, Outstanding> outstanding;
  };
  struct Member {
    double share = 0;
    double reserved = 0;
    std::uint64_t responses = 0;
    TimePoint responded_at;
    bool acknowledged = false;
    // From the last answer that the member is known to have received, so the
    // holder never counts it as live after it has begun to use its share.
    TimePoint live_until;
  };

  // Part of the rate that members without contact may be using.
  double ReservedShare(TimePoint now) const;
  void Refill(Bucket& bucket, const WorkspaceConfig& limits, TimePoint now);
  void RefillAll(const ConfigSnapshot& config, TimePoint now);
  void RecordContact(const LimitRequest& request,
                     const ConfigSnapshot& config,
                     TimePoint now);
  LimitAllowance GrantTokens(const LimitDemand& demand,
                             const LimitRequest& request,
                             const WorkspaceConfig& limits,
                             TimePoint now);

  int shard_;
  Fence fence_;
  TimePoint lease_until_;
  TimePoint granting_from_;
  LimitTimes times_;
  std::map<std::string, Member> members_;
  std::map<std::string, Bucket> buckets_;
};

// Shard of a workspace.
int LimitShardOf(const std::string& workspace, int shard_count);

}  // namespace carawayrelay

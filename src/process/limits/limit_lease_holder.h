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

// Durations of the rate limiter. All entry processes must use the same values.
struct LimitTimes {
  // Duration of the lease of a shard after each renewal.
  std::chrono::milliseconds lease{3000};
  // A member may use granted tokens for this long after it sent its request.
  std::chrono::milliseconds grant_lifetime{1000};
  // A member uses its fallback share once it has received no grant for this
  // long.
  std::chrono::milliseconds live_for{600};
  // Allowance for clocks that run at different speeds.
  std::chrono::milliseconds margin{50};
};

// Grants tokens of one shard to its members while this process holds the lease
// of the shard.
//
// For each workspace, the tokens in the bucket, the unspent granted tokens and
// the fallback shares of members without contact together never exceed the
// burst. Therefore at most burst + rate * W requests are admitted over all VMs
// in any time window of length W.
class LimitLeaseHolder {
 public:
  // All grants of the previous holder must have expired at `granting_from`.
  LimitLeaseHolder(int shard,
                   const LimitRow& row,
                   TimePoint lease_until,
                   TimePoint granting_from,
                   LimitTimes times);

  // Applies a renewal that the store accepted. A row with a higher fence
  // changes the members; tokens and the contact times of members are kept.
  void Renew(const LimitRow& row, TimePoint lease_until);
  TimePoint lease_until() const { return lease_until_; }
  Fence fence() const { return fence_; }

  // Returns the response to a request for tokens. No request is accepted once
  // the lease has expired.
  LimitGrant Handle(const LimitRequest& request,
                    const ConfigSnapshot& config,
                    TimePoint now);

  // Returns the nodes that have acknowledged the current fence.
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
    // Derived from the last grant that the member has acknowledged, so the
    // holder never counts a member as live after the member has begun to use
    // its fallback share.
    TimePoint live_until;
  };

  // Returns the fraction of the rate that members without contact may be using.
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

// Returns the index of the shard that counts the workspace.
int LimitShardOf(const std::string& workspace, int shard_count);

}  // namespace carawayrelay

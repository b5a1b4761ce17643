#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/request.h"
#include "process/limits/limit_lease_holder.h"
#include "process/limits/limit_row.h"

namespace carawayrelay {

// The row of a shard was read for the first time or has changed.
struct ShardRowRead {
  int shard = 0;
  LimitRow row;
};
// This process acquired the lease under a new fence.
struct LeaseAcquired {
  int shard = 0;
  LimitRow row;
  TimePoint until;
  // By then all grants of the previous holder have expired.
  TimePoint granting_from;
};
// The lease was renewed. The fence is higher than before if the members
// changed.
struct LeaseRenewed {
  int shard = 0;
  LimitRow row;
  TimePoint until;
};
// Another process acquired the lease, or this process released it.
struct LeaseLost {
  int shard = 0;
};
using LimitLeaseEvent =
    std::variant<ShardRowRead, LeaseAcquired, LeaseRenewed, LeaseLost>;

// Entry processes in the platform's list of VMs.
struct EntryNodes {
  std::vector<std::string> live;  // listed and not shutting down
  std::vector<std::string> listed;
};

// Nodes that acknowledged the fence of a lease that this process holds.
struct AcknowledgedNodes {
  int shard = 0;
  Fence fence{0};
  std::vector<std::string> nodes;
};

// A row to write with compare-and-set. With an empty ETag the write succeeds
// only if the row does not exist yet.
struct LimitRowWrite {
  int shard = 0;
  LimitRow row;
  std::string etag;
};

// Decides when this process acquires, renews, changes and releases the leases
// of the rate-limit shards. It does not access the store: it receives rows and
// returns the writes to perform.
class LimitLeaseManager {
 public:
  LimitLeaseManager(std::string node, LimitTimes times);

  // Handles the row of a shard that was read at `now`; `row` is empty if the
  // store has no such row. Appends to `events` and returns the write that is
  // due, if any.
  std::optional<LimitRowWrite> HandleRow(int shard,
                                         const std::optional<LimitRow>& row,
                                         const std::string& etag,
                                         const EntryNodes& nodes,
                                         TimePoint now,
                                         std::vector<LimitLeaseEvent>& events);

  // Handles the outcome of a write that ran from `write_started` to `now`.
  void HandleWritten(const LimitRowWrite& write,
                     const Result<std::string>& etag,
                     TimePoint write_started,
                     TimePoint now,
                     std::vector<LimitLeaseEvent>& events);

  // Sets the nodes that acknowledged `fence`, under which this process holds
  // the lease of the shard.
  void SetAcknowledged(int shard, Fence fence, std::vector<std::string> nodes);

  // Returns the writes that release all held leases at a planned shutdown.
  std::vector<LimitRowWrite> Release();

 private:
  struct Shard {
    std::string etag;
    LimitRow row;
    TimePoint unchanged_since;
    bool held = false;
    Fence acknowledged_fence{0};
    std::vector<std::string> acknowledged;
    // Members that are missing from the list of VMs, and the time at which
    // this was first seen.
    std::map<std::string, TimePoint> absent_since;
  };

  bool IsPreferred(int shard, const EntryNodes& nodes) const;
  // Returns the members that have been missing from the list of VMs for at
  // least kAbsentMemberExpiry and are assumed not to run any more.
  static std::vector<std::string> ExpiredMembers(Shard& shard,
                                                 const EntryNodes& nodes,
                                                 TimePoint now);
  LimitRowWrite TakeOver(int index,
                         const Shard& shard,
                         const EntryNodes& nodes,
                         const std::vector<std::string>& expired) const;
  std::optional<LimitRowWrite> RenewOrChange(
      int index,
      const Shard& shard,
      const EntryNodes& nodes,
      const std::vector<std::string>& expired) const;

  std::string node_;
  LimitTimes times_;
  std::map<int, Shard> shards_;
};

}  // namespace carawayrelay

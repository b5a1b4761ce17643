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

// The row of a shard is known or changed.
struct ShardRowRead {
  int shard = 0;
  LimitRow row;
};
// This process holds the lease under a new fence.
struct LeaseAcquired {
  int shard = 0;
  LimitRow row;
  TimePoint until;
  TimePoint granting_from;
};
// The lease was renewed; the fence is higher when the members changed.
struct LeaseRenewed {
  int shard = 0;
  LimitRow row;
  TimePoint until;
};
// Another process holds the lease, or this one gave it up.
struct LeaseLost {
  int shard = 0;
};
using LimitLeaseEvent =
    std::variant<ShardRowRead, LeaseAcquired, LeaseRenewed, LeaseLost>;

// Entries in the platform's list of VMs.
struct EntryNodes {
  std::vector<std::string> live;  // listed and not leaving
  std::vector<std::string> listed;
};

// Nodes that acknowledged the fence of a lease that this process holds.
struct AcknowledgedNodes {
  int shard = 0;
  Fence fence{0};
  std::vector<std::string> nodes;
};

// A row to write by compare-and-set. An empty ETag means that the row must not
// exist yet.
struct LimitRowWrite {
  int shard = 0;
  LimitRow row;
  std::string etag;
};

// Decides when this process takes, renews, changes and releases the leases of
// the rate-limit shards. Knows no store: it gets rows and returns writes.
class LimitLeaseManager {
 public:
  LimitLeaseManager(std::string node, LimitTimes times);

  // Handles the row of a shard as read between `read_started` and `now`.
  // `row` is empty when there is none. Appends events and returns the write
  // that is due, if any.
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

  // Nodes that acknowledged the fence of a lease that this process holds.
  void SetAcknowledged(int shard, Fence fence, std::vector<std::string> nodes);

  // The writes that give up all leases at a planned stop.
  std::vector<LimitRowWrite> Release();

 private:
  struct Shard {
    std::string etag;
    LimitRow row;
    TimePoint unchanged_since;
    bool held = false;
    Fence acknowledged_fence{0};
    std::vector<std::string> acknowledged;
    // Members that the list of VMs lacks, and since when.
    std::map<std::string, TimePoint> absent_since;
  };

  bool IsPreferred(int shard, const EntryNodes& nodes) const;
  // Members that are absent for so long that they cannot be running.
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

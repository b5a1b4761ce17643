#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/chunk_record.h"

namespace carawayrelay {

// An item of a chunk that this entry holds.
struct ItemRef {
  ChunkId chunk;
  size_t index = 0;
};

// Why a try of an item ended without an outcome.
enum class ItemAttemptEnd {
  kNotRun,          // the agent had no room for it
  kConnectionLost,  // it may have run
  kPreempted,       // cancelled for online work
  kBackendFailed,   // it ran, and the backend server failed
};

// How often a try of an item may end in each way before the item fails.
struct AttemptLimits {
  int backend_failures = 3;
  // The other limits only keep an item from being tried without end. An item
  // that makes backend servers crash shows as lost connections.
  int lost_connections = 20;
  int preemptions = 10000;
  int not_run = 100000;
};

// The chunks that this entry holds, with the state of their items. An item is
// pending, running or has an outcome.
class HeldChunkTable {
 public:
  using WeightOf = std::function<double(const std::string& workspace)>;

  explicit HeldChunkTable(AttemptLimits limits) : limits_(limits) {}

  // Adds a claimed chunk, all items of which are pending. The chunk must not
  // be in the book.
  void Add(ClaimedChunk chunk, TimePoint now);
  // Forgets a chunk and the outcomes of its items.
  void Remove(const ChunkId& id);

  // Takes a pending item whose model is one of `routes`: of the workspace with
  // the least work done for its weight, of the job served longest ago, of its
  // lowest chunk. The item is running afterwards.
  std::optional<ItemRef> TakeItem(const std::set<std::string>& routes,
                                  const WeightOf& weight_of,
                                  TimePoint now);
  // Ends a running item.
  void FinishItem(const ItemRef& ref, ItemOutcome outcome, TimePoint now);
  // Makes a running item pending again, or fails it when a limit is reached.
  void RequeueItem(const ItemRef& ref,
                   ItemAttemptEnd end,
                   const std::string& reason,
                   TimePoint now);

  bool Contains(const ChunkId& id) const { return chunks_.contains(id); }
  size_t size() const { return chunks_.size(); }
  const ChunkLease& Lease(const ChunkId& id) const;
  const BatchItem& Item(const ItemRef& ref) const;
  // True when every item has an outcome.
  bool IsComplete(const ChunkId& id) const;
  // Requires a complete chunk.
  ChunkResult BuildResult(const ChunkId& id) const;
  std::vector<ChunkId> Ids() const;
  // Numbers of the held chunks of a job.
  std::set<std::uint64_t> ChunkNumbersOfJob(const std::string& job) const;
  size_t CountOfWorkspace(const std::string& workspace) const;
  // Of the incomplete chunks without running items that made no progress since
  // `limit`, the one with the fewest outcomes.
  std::optional<ChunkId> FindIdleChunk(TimePoint limit) const;

 private:
  struct ItemState {
    std::optional<ItemOutcome> outcome;
    int backend_failures = 0;
    int lost_connections = 0;
    int preemptions = 0;
    int not_run = 0;
    double charge = 0;  // of the last take, in work_done_
  };

  struct HeldChunk {
    ClaimedChunk claimed;
    std::vector<ItemState> items;
    std::map<std::string, std::deque<size_t>> pending;  // by model
    size_t running = 0;
    size_t finished = 0;
    TimePoint last_progress;
  };

  // Counts the end of a try. Returns the error of an item that reached a limit.
  std::optional<ItemError> CountAttempt(ItemState& item,
                                        ItemAttemptEnd end,
                                        const std::string& reason) const;

  AttemptLimits limits_;
  std::map<ChunkId, HeldChunk> chunks_;
  // Items taken, divided by the weight of the workspace.
  std::map<std::string, double> work_done_;
  // Order in which jobs were served last.
  std::map<std::string, std::uint64_t> last_served_;
  std::uint64_t take_count_ = 0;
};

}  // namespace carawayrelay

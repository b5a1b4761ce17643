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

// Identifies an item of a chunk that this entry holds.
struct ItemRef {
  ChunkId chunk;
  size_t index = 0;  // within the chunk
};

// Why an attempt of an item ended without an outcome.
enum class ItemAttemptEnd {
  kNotRun,          // the agent rejected the item before it ran
  kConnectionLost,  // the connection to the agent was lost; it may have run
  kPreempted,       // cancelled by the agent, usually for online requests
  kBackendFailed,   // any other failure or a timeout; it may have run
};

// Number of attempts that may end in each way. The item fails when one of them
// is reached.
struct AttemptLimits {
  int backend_failures = 3;
  // The other limits only prevent endless attempts. An item that crashes
  // backend servers shows as lost connections.
  int lost_connections = 20;
  int preemptions = 10000;
  int not_run = 100000;
};

// The chunks that this entry holds, with the state of each item: pending,
// running, or finished with an outcome. Shares attempts among workspaces by
// weight. Runs on the `batch` thread.
class HeldChunkTable {
 public:
  using WeightOf = std::function<double(const std::string& workspace)>;

  explicit HeldChunkTable(AttemptLimits limits) : limits_(limits) {}

  // Adds a claimed chunk with all items pending. The chunk must not be in the
  // table.
  void Add(ClaimedChunk claimed, TimePoint now);
  // Removes a chunk with the outcomes of its items.
  void Remove(const ChunkId& id);

  // Selects a pending item whose model is one of `routes` and makes it running.
  // Prefers the workspace with the least work for its weight, then the job
  // served longest ago, then the chunk with the lowest number. Returns nothing
  // when no item matches.
  std::optional<ItemRef> TakeItem(const std::set<std::string>& routes,
                                  const WeightOf& weight_of,
                                  TimePoint now);
  // Records the outcome of a running item.
  void FinishItem(const ItemRef& ref, ItemOutcome outcome, TimePoint now);
  // Makes a running item pending again, or finishes it with an error when a
  // limit is reached. `reason` is the cause of the last failure and appears in
  // that error.
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
  // Returns the result lines and counts. The chunk must be complete.
  ChunkResult BuildResult(const ChunkId& id) const;
  std::vector<ChunkId> Ids() const;
  std::set<std::uint64_t> ChunkNumbersOfJob(const std::string& job) const;
  size_t ChunkCountOfWorkspace(const std::string& workspace) const;
  // Returns the chunk with the fewest outcomes among the incomplete chunks
  // without running items that made no progress since `limit`.
  std::optional<ChunkId> FindIdleChunk(TimePoint limit) const;
  // Records which routes the agents of this entry serve now.
  void NoteServedRoutes(const std::set<std::string>& routes, TimePoint now);
  // Returns an incomplete chunk without running items that made no progress
  // since `limit`, and of whose pending items no model was served since then.
  std::optional<ChunkId> FindUnservedChunk(TimePoint limit) const;

 private:
  struct ItemState {
    std::optional<ItemOutcome> outcome;
    int backend_failures = 0;
    int lost_connections = 0;
    int preemptions = 0;
    int not_run = 0;
    double charge = 0;  // added to work_done_ for the last attempt
  };

  struct HeldChunk {
    ClaimedChunk claimed;
    std::vector<ItemState> items;
    std::map<std::string, std::deque<size_t>> pending;  // item indexes by model
    size_t running = 0;                                 // items
    size_t finished = 0;                                // items
    // Last time an item was submitted or finished.
    TimePoint last_progress;
    // Last time an agent served the model of a pending item.
    TimePoint last_served;
  };

  static bool IsIdle(const HeldChunk& chunk, TimePoint limit);
  // Counts the end of an attempt. Returns an error when the item has reached a
  // limit.
  std::optional<ItemError> CountAttempt(ItemState& item,
                                        ItemAttemptEnd end,
                                        const std::string& reason) const;

  AttemptLimits limits_;
  std::map<ChunkId, HeldChunk> chunks_;
  // By workspace: attempts that were not rejected, divided by the weight of the
  // workspace.
  std::map<std::string, double> work_done_;
  // By job: value of `take_count_` when one of its items was taken last.
  std::map<std::string, std::uint64_t> last_served_;
  std::uint64_t take_count_ = 0;
};

}  // namespace carawayrelay

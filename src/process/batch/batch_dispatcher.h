#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/batch/active_jobs.h"
#include "process/batch/batch_event.h"
#include "process/batch/held_chunk_table.h"

namespace carawayrelay {

// All decisions of an entry about batch work: which chunks it holds, which
// items run where, and when results are committed.
class BatchDispatcher {
 public:
  struct Options {
    size_t max_chunks = 32;  // held or being claimed
    size_t max_chunks_per_job = 8;
    size_t max_claims = 4;  // being claimed
    AttemptLimits limits;
    ActiveJobs::Options jobs;
    // Limit of one attempt, for backend servers that hang.
    std::chrono::milliseconds attempt_timeout{900000};
    std::chrono::milliseconds commit_retry_delay{1000};
    // After this time a chunk without progress gives way to other work.
    std::chrono::milliseconds idle_release_delay{10000};
    // Until this entry takes chunks of the job of such a chunk again.
    std::chrono::milliseconds idle_job_delay{60000};
  };

  explicit BatchDispatcher(Options options)
      : options_(options), jobs_(options.jobs), held_chunks_(options.limits) {}

  std::vector<BatchAction> Handle(BatchEvent event, TimePoint now);

  // For metrics and tests.
  size_t held_chunk_count() const { return held_chunks_.size(); }
  size_t running_item_count() const { return attempts_.size(); }

 private:
  struct Connection {
    std::string zone;
    std::set<std::string> routes;
    int free_slots = 0;  // items that the agent can take now
  };

  struct Attempt {
    ConnectionId connection;
    ItemRef item;
    std::string body;
    std::uint64_t next_part = 0;
    bool has_gap = false;
    TimePoint deadline;
  };

  struct CommitState {
    bool in_flight = false;
    TimePoint next_try;
  };

  void On(LinkUp& event, TimePoint now);
  void On(LinkMessage& event, TimePoint now);
  void On(LinkDown& event, TimePoint now);
  void On(BatchConfigChanged& event, TimePoint now);
  void On(SessionChanged& event, TimePoint now);
  void On(ActiveJobsListed& event, TimePoint now);
  void On(JobScanned& event, TimePoint now);
  void On(ChunkClaimed& event, TimePoint now);
  void On(ChunkCommitted& event, TimePoint now);
  void On(ChunkReleased& event, TimePoint now);
  void On(LocalJobCreated& event, TimePoint now);
  void On(LocalJobCancelled& event, TimePoint now);
  void On(Tick& event, TimePoint now);
  void On(StopRequested& event, TimePoint now);

  void OnPart(Part& part);
  void OnEnd(const End& end, TimePoint now);
  void OnRefused(const Refused& refused, TimePoint now);

  // Does what the present state calls for.
  void EmitDueActions(TimePoint now);
  void SubmitItems(TimePoint now);
  bool SubmitItem(ConnectionId id, Connection& connection, TimePoint now);
  void CommitChunks(TimePoint now);
  void FindChunksToClaim(TimePoint now);
  void ReleaseChunks();
  void ReleaseChunk(const ChunkId& id);

  // Forgets chunks and cancels their attempts.
  void DropChunk(const ChunkId& id);
  void DropJob(const std::string& job);
  void DropAll();
  // A late frame, or one of another connection, names no attempt of the
  // connection.
  bool OwnsAttempt(ConnectionId connection, AttemptId id) const;
  // Removes and returns a running attempt.
  Attempt TakeAttempt(AttemptId id);
  void CancelAttempts(const ChunkId& chunk);
  // Routes that a connection with room serves and this entry has no items for.
  std::set<std::string> RoutesWithFreeSlots() const;
  bool IsUsable(const Connection& connection) const;
  double WeightOf(const std::string& workspace) const;
  void Request(BatchStoreRequest request) {
    actions_.emplace_back(std::move(request));
  }

  Options options_;
  ActiveJobs jobs_;
  HeldChunkTable held_chunks_;
  ConfigPtr config_;
  std::string session_;
  TimePoint held_until_;
  std::map<ConnectionId, Connection> connections_;
  std::map<AttemptId, Attempt> attempts_;
  std::map<ChunkId, CommitState> commits_;
  std::map<ChunkId, Fence> releases_;
  std::set<ChunkId> claims_;
  std::uint64_t next_attempt_ = 0;
  TimePoint next_deadline_check_;
  bool stopping_ = false;
  bool stop_reported_ = false;
  std::vector<BatchAction> actions_;
};

}  // namespace carawayrelay

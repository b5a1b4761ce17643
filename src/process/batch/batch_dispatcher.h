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

// Decides for an entry which chunks it claims and holds, which agent runs which
// item, and when results are committed. Performs no I/O: takes events and
// returns actions. Runs on the `batch` thread.
class BatchDispatcher {
 public:
  struct Options {
    size_t max_chunks = 32;  // held or being claimed
    size_t max_chunks_per_job = 8;
    size_t max_claims = 4;  // being claimed
    AttemptLimits limits;
    ActiveJobs::Options jobs;
    // Time limit of one attempt, in case a backend server hangs.
    std::chrono::milliseconds attempt_timeout{900000};
    std::chrono::milliseconds commit_retry_delay{1000};
    // A chunk without running items that made no progress for this time is
    // released when no agent here serves its models, since another entry may
    // have one, and when `max_chunks` is reached, to make space for others.
    std::chrono::milliseconds idle_release_delay{10000};
    // Delay before this entry scans the job of such a chunk for claims again.
    std::chrono::milliseconds idle_job_delay{60000};
  };

  explicit BatchDispatcher(Options options)
      : options_(options), jobs_(options.jobs), held_chunks_(options.limits) {}

  // Returns the actions that follow from the event and from timers that are due
  // at `now`. Must be called regularly, with Tick if there is no other event.
  std::vector<BatchAction> Handle(BatchEvent event, TimePoint now);

  // For logs.
  size_t held_chunk_count() const { return held_chunks_.size(); }
  size_t running_item_count() const { return attempts_.size(); }

 private:
  struct Connection {
    std::string zone;
    std::set<std::string> routes;
    // Items that the agent can accept now: as reported last, minus the items
    // submitted since.
    int free_slots = 0;
  };

  struct Attempt {
    ConnectionId connection;
    ItemRef item;
    std::string body;
    std::uint64_t next_part = 0;
    bool has_gap = false;  // a part of the response was missing
    TimePoint deadline;
  };

  struct CommitState {
    bool in_flight = false;
    TimePoint next_commit;  // not before this time
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

  // Appends the actions that the state calls for at `now`: cancels attempts
  // past their deadline, submits items, requests claims and commits, and
  // releases chunks after a stop request.
  void EmitDueActions(TimePoint now);
  void SubmitItems(TimePoint now);
  // Returns false when no pending item matches the routes of the connection.
  bool SubmitItem(ConnectionId id, Connection& connection, TimePoint now);
  void CommitChunks(TimePoint now);
  void FindChunksToClaim(TimePoint now);
  // Releases a chunk that this entry holds and cannot run.
  void ReleaseUnservedChunk(TimePoint now);
  void ReleaseChunks();
  void ReleaseChunk(const ChunkId& id);

  // Cancels the attempts of chunks and removes the chunks, without a store
  // request.
  void DropChunk(const ChunkId& id);
  void DropJob(const std::string& job);
  void DropAll();
  // Returns true when the attempt is running on the connection. False for a
  // message that arrives after the end of its attempt or on another connection.
  bool OwnsAttempt(ConnectionId connection, AttemptId id) const;
  // Removes a running attempt and returns it.
  Attempt ExtractAttempt(AttemptId id);
  void CancelAttempts(const ChunkId& chunk);
  // Returns the routes served by usable connections with at least `free_slots`.
  std::set<std::string> ServedRoutes(int free_slots) const;
  // False when the configuration takes the connection's zone out of service.
  bool IsUsable(const Connection& connection) const;
  // Returns the configured weight, or 1 for an unknown workspace.
  double WeightOf(const std::string& workspace) const;
  void Request(BatchStoreRequest request) {
    actions_.emplace_back(std::move(request));
  }

  Options options_;
  ActiveJobs jobs_;
  HeldChunkTable held_chunks_;
  ConfigPtr config_;
  std::string session_;  // empty without a session
  TimePoint held_until_;
  std::map<ConnectionId, Connection> connections_;
  std::map<AttemptId, Attempt> attempts_;
  std::map<ChunkId, CommitState> commits_;
  std::map<ChunkId, Fence> releases_;  // in flight
  std::set<ChunkId> claims_;           // in flight
  std::uint64_t next_attempt_ = 0;
  TimePoint next_deadline_check_;
  bool stopping_ = false;
  bool stop_reported_ = false;
  std::vector<BatchAction> actions_;
};

}  // namespace carawayrelay

#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"
#include "process/batch/chunk_record.h"
#include "process/batch/chunk_store.h"
#include "process/batch/job_store.h"
#include "process/dispatch/common_event.h"
#include "process/transport/link_thread.h"

namespace carawayrelay {

// Events of the batch dispatcher. Link events are those of the batch
// connections.

struct BatchConfigChanged {
  ConfigPtr config;
};

// State of the session of this entry. `held_until` is the end of the time
// during which it may act.
struct SessionChanged {
  std::string session;
  TimePoint held_until;
  bool is_lost = false;
};

struct ActiveJobsListed {
  std::string after;
  Result<std::vector<ActiveJob>> jobs;
};

struct JobScanned {
  std::string job;
  Result<JobScan> scan;
};

struct ChunkClaimed {
  ChunkId id;
  std::string session;
  Result<ClaimedChunk> chunk;
};

struct ChunkCommitted {
  ChunkId id;
  Fence fence{0};
  Result<CommitStatus> status;
};

struct ChunkReleased {
  ChunkId id;
  Fence fence{0};
};

// A caller created or cancelled a job through this entry, so that it need not
// wait for the next look at the store.
struct LocalJobCreated {
  ActiveJob job;
};
struct LocalJobCancelled {
  std::string job;
};

using BatchEvent = std::variant<LinkUp,
                                LinkMessage,
                                LinkDown,
                                BatchConfigChanged,
                                SessionChanged,
                                ActiveJobsListed,
                                JobScanned,
                                ChunkClaimed,
                                ChunkCommitted,
                                ChunkReleased,
                                LocalJobCreated,
                                LocalJobCancelled,
                                Tick,
                                StopRequested>;

// Store operations, answered by the event named.

// ActiveJobsListed.
struct ListActiveJobs {
  std::string after;
  size_t limit = 0;
};

// JobScanned.
struct ScanJob {
  std::string workspace;
  std::string job;
  std::string session;
  std::set<std::uint64_t> held;
  // Only whether the job still runs.
  bool state_only = false;
};

// ChunkClaimed.
struct ClaimJobChunk {
  std::string workspace;
  std::string job;
  std::string session;
  ClaimCandidate candidate;
};

// ChunkCommitted.
struct CommitJobChunk {
  ChunkLease lease;
  ChunkResult result;
};

// ChunkReleased.
struct ReleaseJobChunk {
  ChunkLease lease;
};

using BatchStoreRequest = std::variant<ListActiveJobs,
                                       ScanJob,
                                       ClaimJobChunk,
                                       CommitJobChunk,
                                       ReleaseJobChunk>;

struct SendToAgent {
  ConnectionId connection{0};
  Message message;
};

// All chunks are committed or released after a stop request.
struct BatchStopFinished {};

using BatchAction =
    std::variant<SendToAgent, BatchStoreRequest, BatchStopFinished>;

}  // namespace carawayrelay

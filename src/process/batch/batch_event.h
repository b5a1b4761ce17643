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

// Input events and output actions of the batch dispatcher. LinkUp, LinkMessage
// and LinkDown concern the batch connections to agents.

struct BatchConfigChanged {
  ConfigPtr config;
};

// The session of this entry was renewed or lost.
struct SessionChanged {
  std::string session;
  // End of the time during which the entry may act for the session. Unset when
  // the session is lost.
  TimePoint held_until;
  bool is_lost = false;  // false: the session was renewed
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

// A client created or cancelled a job through this entry. Saves the entry from
// waiting until it reads the change from the store.
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

// Store operations. The comment of each names the event that reports its
// result.

// Lists the active jobs whose ids sort after `after`. Result: ActiveJobsListed.
struct ListActiveJobs {
  std::string after;
  size_t limit = 0;
};

// Reads the state of a job and its chunks that can be claimed. Result:
// JobScanned.
struct ScanJob {
  std::string workspace;
  std::string job;
  std::string session;
  // Numbers of the chunks that this entry holds or is claiming.
  std::set<std::uint64_t> held;
  // True: read only the job row, to learn whether the job is still running.
  bool state_only = false;
};

// Result: ChunkClaimed.
struct ClaimJobChunk {
  std::string workspace;
  std::string job;
  std::string session;
  ClaimCandidate candidate;
};

// Result: ChunkCommitted.
struct CommitJobChunk {
  ChunkLease lease;
  ChunkResult result;
};

// Result: ChunkReleased, also when the release failed.
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

// After a stop request, no chunk is held or being claimed any more, and no
// release is in flight.
struct BatchStopFinished {};

using BatchAction =
    std::variant<SendToAgent, BatchStoreRequest, BatchStopFinished>;

}  // namespace carawayrelay

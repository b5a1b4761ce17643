#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/chunk_record.h"
#include "process/job_record.h"
#include "process/job_store.h"
#include "process/session_lease.h"
#include "process/store_access.h"

namespace carawayrelay {

// A chunk that may be claimed, as read from its row.
struct ClaimCandidate {
  std::uint64_t chunk = 0;
  ChunkRecord record;
  std::string etag;  // empty when the chunk has no row
};

enum class JobVerdict {
  kRunning,
  kEnded,    // completed or cancelled
  kMissing,  // no row; its creator may be about to write it
};

struct JobScan {
  JobVerdict verdict = JobVerdict::kRunning;
  std::vector<ClaimCandidate> candidates;
};

// A chunk claimed by this entry, with its items.
struct ClaimedChunk {
  std::string job;
  std::string workspace;
  std::uint64_t chunk = 0;
  ChunkRecord record;
  std::string etag;
  std::uint64_t first_item = 0;
  std::vector<BatchItem> items;
};

// Result of a chunk of which every item has an outcome.
struct ChunkResult {
  std::string output_lines;
  std::string error_lines;
  JobCounts counts;
};

enum class CommitVerdict {
  kCommitted,
  kChunkLost,  // another session owns the chunk
  kJobEnded,   // the job was cancelled
};

// Chunk rows and sessions in the platform's store, as the owner and observer of
// leases uses them. Blocking; errors are those of PlatformClient.
class ChunkStore {
 public:
  using Clock = std::function<TimePoint()>;

  ChunkStore(StoreAccess access,
             std::chrono::milliseconds lease_time,
             Clock clock);

  // Reads a job and its chunk rows. Ends the job when all chunks are done, and
  // removes ended jobs from the index. Observes the sessions of owners when no
  // chunk is free otherwise. Candidates include chunks that `session` owns
  // according to the rows, for an owner that does not know of its claim.
  Result<JobScan> Scan(const std::string& workspace,
                       const std::string& job,
                       const std::string& session,
                       std::chrono::sys_seconds now);
  // Fails with kConflict when another entry was faster.
  Result<ClaimedChunk> Claim(const std::string& workspace,
                             const std::string& job,
                             const ClaimCandidate& candidate,
                             const std::string& session);
  // May be repeated with the same arguments after kUnavailable and kUnknown.
  Result<CommitVerdict> Commit(const ClaimedChunk& chunk,
                               const ChunkResult& result);
  Result<void> Release(const ClaimedChunk& chunk);

  // Renews the session and records the outcome in `lease`.
  Result<void> Renew(SessionLease& lease);
  // Marks a session lapsed, so that others need not wait for its lease time.
  Result<void> EndSession(const SessionLease& lease);

 private:
  Result<Row> FindRow(const std::string& table, const std::string& key);
  Result<bool> IsLapsed(const std::string& session);
  Result<void> EndCompletedJob(const JobRecord& job,
                               const JobCounts& counts,
                               const std::string& etag,
                               std::chrono::sys_seconds now);

  StoreAccess access_;
  JobStore jobs_;
  SessionObserver observer_;
  Clock clock_;
};

}  // namespace carawayrelay

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/chunk_record.h"
#include "process/batch/job_record.h"
#include "process/batch/job_store.h"
#include "process/batch/session_lease.h"
#include "process/store/store_access.h"

namespace carawayrelay {

enum class JobScanStatus {
  kRunning,
  kEnded,    // completed or cancelled
  kMissing,  // has no job row; its creator may not have written it yet
};

struct JobScan {
  JobScanStatus status = JobScanStatus::kRunning;
  std::vector<ClaimCandidate> candidates;
};

enum class CommitStatus {
  kCommitted,
  kChunkLost,  // the chunk row has changed since the claim
  kJobEnded,   // the job is no longer running
};

// Access to the job, chunk and session rows in the store, for the entry that
// owns a session and observes those of other entries. All calls block; their
// errors are those of BlockingStoreClient, and kInternal for invalid rows.
class ChunkStore {
 public:
  using Clock = std::function<TimePoint()>;

  ChunkStore(StoreAccess access,
             std::chrono::milliseconds lease_time,
             Clock clock);

  // Reads a job and its chunk rows and returns chunks to claim. Marks the job
  // completed when all chunks are done, and removes ended jobs from the index
  // of active jobs. When no chunk is free, observes the sessions of owners and
  // returns chunks whose owner's session has lapsed. Candidates include chunks
  // that `session` owns according to their rows but that are not in `held`: the
  // response to their claim was lost.
  Result<JobScan> Scan(const std::string& workspace,
                       const std::string& job,
                       const std::string& session,
                       const std::set<std::uint64_t>& held,
                       std::chrono::sys_seconds now);
  // Reads the job row only and changes nothing. The result has no candidates.
  Result<JobScan> Check(const std::string& workspace, const std::string& job);
  // Claims the chunk and reads its items. Fails with kConflict when the job has
  // ended or the chunk row has changed since the scan.
  Result<ClaimedChunk> Claim(const std::string& workspace,
                             const std::string& job,
                             const ClaimCandidate& candidate,
                             const std::string& session);
  // Writes the result object and marks the chunk done. Idempotent: may be
  // repeated with the same arguments after kUnavailable or kUnknown.
  Result<CommitStatus> Commit(const ChunkLease& lease,
                              const ChunkResult& result);
  // Makes the chunk open again without a result.
  Result<void> Release(const ChunkLease& lease);

  // Renews the session in its row, or creates the row, and records the outcome
  // in `lease`. Fails with kConflict when the session is lost or the row
  // changed during the renewal.
  Result<void> Renew(SessionLease& lease);
  // Marks the session lapsed, so that other entries can claim its chunks
  // without waiting for its lease time.
  Result<void> EndSession(const SessionLease& lease);

 private:
  Result<Row> FindRow(const std::string& table, const std::string& key);
  // Observes the session, and marks it lapsed when its lease time has passed.
  Result<bool> IsLapsed(const std::string& session);
  Result<void> EndCompletedJob(const JobRecord& job,
                               const JobCounts& counts,
                               const std::string& etag,
                               std::chrono::sys_seconds now);

  StoreAccess access_;
  JobStore jobs_;
  SessionObserver observer_;
  Clock clock_;
  size_t scan_count_ = 0;
};

}  // namespace carawayrelay

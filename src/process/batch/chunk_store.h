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
  kMissing,  // no row; its creator may be about to write it
};

struct JobScan {
  JobScanStatus status = JobScanStatus::kRunning;
  std::vector<ClaimCandidate> candidates;
};

enum class CommitStatus {
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
  // according to the rows but that are not in `held`: the response to their
  // claim was lost.
  Result<JobScan> Scan(const std::string& workspace,
                       const std::string& job,
                       const std::string& session,
                       const std::set<std::uint64_t>& held,
                       std::chrono::sys_seconds now);
  // Like Scan(), but reads the job row only.
  Result<JobScan> Check(const std::string& workspace, const std::string& job);
  // Fails with kConflict when another entry was faster.
  Result<ClaimedChunk> Claim(const std::string& workspace,
                             const std::string& job,
                             const ClaimCandidate& candidate,
                             const std::string& session);
  // May be repeated with the same arguments after kUnavailable and kUnknown.
  Result<CommitStatus> Commit(const ChunkLease& lease,
                              const ChunkResult& result);
  Result<void> Release(const ChunkLease& lease);

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
  size_t scan_count_ = 0;
};

}  // namespace carawayrelay

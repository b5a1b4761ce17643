#include "process/batch/chunk_store.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace carawayrelay {
namespace {

const std::string kJobs = "jobs";
const std::string kChunks = "chunks";
const std::string kSessions = "sessions";

// Limit of candidates per scan. Other entries would claim further ones before
// this entry does.
constexpr size_t kMaxCandidates = 8;
// Limit of sessions observed per scan, which bounds the store reads.
constexpr size_t kMaxObserved = 8;

std::string JobKey(const std::string& workspace, const std::string& job) {
  return workspace + "/" + job;
}

// Chunks of a job that the caller does not hold, by state.
struct ClassifiedChunks {
  std::vector<ClaimCandidate> free;
  std::vector<ClaimCandidate> claimed_by_others;
  JobCounts counts;
  std::uint64_t done = 0;
};

Result<ClassifiedChunks> ClassifyChunks(const JobRecord& job,
                                        const std::vector<KeyedRow>& rows,
                                        const std::string& session,
                                        const std::set<std::uint64_t>& held) {
  std::map<std::string, const Row*> by_key;
  for (const KeyedRow& row : rows) {
    by_key.emplace(row.key, &row.row);
  }
  ClassifiedChunks chunks;
  for (std::uint64_t n = 0; n < job.ChunkCount(); ++n) {
    const auto it = by_key.find(ChunkKey(job.id, n));
    if (held.contains(n)) {
      continue;
    }
    if (it == by_key.end()) {
      chunks.free.push_back({.chunk = n});
      continue;
    }
    BOOST_OUTCOME_TRY(const ChunkRecord record,
                      ParseChunkRecord(it->second->value));
    ClaimCandidate candidate{n, record, it->second->etag};
    if (record.state == ChunkState::kDone) {
      ++chunks.done;
      chunks.counts.succeeded += record.counts.succeeded;
      chunks.counts.failed += record.counts.failed;
    } else if (record.state == ChunkState::kOpen || record.IsOwnedBy(session)) {
      chunks.free.push_back(std::move(candidate));
    } else {
      chunks.claimed_by_others.push_back(std::move(candidate));
    }
  }
  return chunks;
}

}  // namespace

ChunkStore::ChunkStore(StoreAccess access,
                       std::chrono::milliseconds lease_time,
                       Clock clock)
    : access_(access),
      jobs_(std::move(access), JobStore::Options{}),
      observer_(lease_time),
      clock_(std::move(clock)) {}

Result<JobScan> ChunkStore::Scan(const std::string& workspace,
                                 const std::string& job,
                                 const std::string& session,
                                 const std::set<std::uint64_t>& held,
                                 std::chrono::sys_seconds now) {
  const Result<Row> row = access_.read_row(kJobs, JobKey(workspace, job));
  if (!row) {
    if (row.error().code == ErrorCode::kNotFound) {
      return JobScan{.status = JobScanStatus::kMissing};
    }
    return row.error();
  }
  BOOST_OUTCOME_TRY(const JobRecord record, ParseJobRecord(row.value().value));
  if (record.state != JobState::kRunning) {
    BOOST_OUTCOME_TRY(jobs_.RemoveActiveJob(job));
    return JobScan{.status = JobScanStatus::kEnded};
  }
  BOOST_OUTCOME_TRY(const std::vector<KeyedRow> rows,
                    ListAllRows(access_, kChunks, job + "/"));
  BOOST_OUTCOME_TRY(ClassifiedChunks chunks,
                    ClassifyChunks(record, rows, session, held));
  if (chunks.done == record.ChunkCount()) {
    BOOST_OUTCOME_TRY(
        EndCompletedJob(record, chunks.counts, row.value().etag, now));
    return JobScan{.status = JobScanStatus::kEnded};
  }
  JobScan scan;
  if (!chunks.free.empty()) {
    // Entries start at different chunks, so that few of their claims conflict.
    const size_t start =
        std::hash<std::string>{}(session + job) % chunks.free.size();
    std::rotate(chunks.free.begin(),
                chunks.free.begin() + static_cast<std::ptrdiff_t>(start),
                chunks.free.end());
    chunks.free.resize(std::min(chunks.free.size(), kMaxCandidates));
    scan.candidates = std::move(chunks.free);
    return scan;
  }
  // Each scan starts at another chunk, so that all owners are observed in time
  // although each scan observes only some of them.
  std::vector<ClaimCandidate>& others = chunks.claimed_by_others;
  if (!others.empty()) {
    std::rotate(others.begin(),
                others.begin() +
                    static_cast<std::ptrdiff_t>(scan_count_++ % others.size()),
                others.end());
  }
  std::map<std::string, bool> lapsed;
  for (ClaimCandidate& candidate : others) {
    const std::string& owner = candidate.record.session;
    if (!lapsed.contains(owner) && lapsed.size() < kMaxObserved) {
      BOOST_OUTCOME_TRY(const bool is_lapsed, IsLapsed(owner));
      lapsed.emplace(owner, is_lapsed);
    }
    const auto it = lapsed.find(owner);
    if (it != lapsed.end() && it->second &&
        scan.candidates.size() < kMaxCandidates) {
      scan.candidates.push_back(std::move(candidate));
    }
  }
  return scan;
}

Result<JobScan> ChunkStore::Check(const std::string& workspace,
                                  const std::string& job) {
  const Result<JobRecord> record = jobs_.ReadJob(workspace, job);
  if (!record) {
    if (record.error().code == ErrorCode::kNotFound) {
      return JobScan{.status = JobScanStatus::kMissing};
    }
    return record.error();
  }
  return JobScan{.status = record.value().state == JobState::kRunning
                               ? JobScanStatus::kRunning
                               : JobScanStatus::kEnded};
}

Result<ClaimedChunk> ChunkStore::Claim(const std::string& workspace,
                                       const std::string& job,
                                       const ClaimCandidate& candidate,
                                       const std::string& session) {
  BOOST_OUTCOME_TRY(const Row job_row,
                    access_.read_row(kJobs, JobKey(workspace, job)));
  BOOST_OUTCOME_TRY(const JobRecord record, ParseJobRecord(job_row.value));
  if (record.state != JobState::kRunning) {
    return Error{ErrorCode::kConflict, "the job is no longer running"};
  }
  const std::string key = ChunkKey(job, candidate.chunk);
  ClaimedChunk claimed{
      .lease = {.id = {job, candidate.chunk},
                .workspace = workspace,
                .record = ClaimChunk(candidate.record, session)}};
  const std::string value = ToJson(claimed.lease.record);
  BOOST_OUTCOME_TRY(
      claimed.lease.etag,
      candidate.etag.empty()
          ? access_.create_row(kChunks, key, value)
          : access_.update_row(kChunks, key, value, candidate.etag));
  const ChunkRange range = record.ChunkAt(candidate.chunk);
  claimed.lease.first_item = range.first_item;
  BOOST_OUTCOME_TRY(const FileRecord file,
                    jobs_.ReadFile(workspace, record.input_file));
  BOOST_OUTCOME_TRY(const std::string segment,
                    access_.read_object(file.SegmentObjectName(range.segment)));
  BatchLines lines = ParseBatchLines(segment);
  if (!lines.findings.empty() ||
      lines.items.size() < range.first_in_segment + range.items) {
    return Error{ErrorCode::kInternal,
                 "input file " + file.id +
                     " does not match its row: " + ToText(lines.findings)};
  }
  const auto first =
      lines.items.begin() + static_cast<std::ptrdiff_t>(range.first_in_segment);
  claimed.items.assign(std::make_move_iterator(first),
                       std::make_move_iterator(
                           first + static_cast<std::ptrdiff_t>(range.items)));
  return claimed;
}

Result<CommitStatus> ChunkStore::Commit(const ChunkLease& lease,
                                        const ChunkResult& result) {
  BOOST_OUTCOME_TRY(
      const Row job_row,
      access_.read_row(kJobs, JobKey(lease.workspace, lease.id.job)));
  BOOST_OUTCOME_TRY(const JobRecord job, ParseJobRecord(job_row.value));
  if (job.state != JobState::kRunning) {
    return CommitStatus::kJobEnded;
  }
  const std::string object =
      ResultObject(lease.id.job, lease.id.number, lease.record.fence);
  BOOST_OUTCOME_TRY(access_.write_object(
      object, JoinResultLines(result.output_lines, result.error_lines)));
  const std::string key = ChunkKey(lease.id.job, lease.id.number);
  const std::string value =
      ToJson(CommitChunk(lease.record, object, result.counts));
  const Result<std::string> updated =
      access_.update_row(kChunks, key, value, lease.etag);
  if (updated) {
    return CommitStatus::kCommitted;
  }
  if (updated.error().code != ErrorCode::kConflict) {
    return updated.error();
  }
  // An earlier commit whose response was lost may have written the same value.
  BOOST_OUTCOME_TRY(const Row row, access_.read_row(kChunks, key));
  return row.value == value ? CommitStatus::kCommitted
                            : CommitStatus::kChunkLost;
}

Result<void> ChunkStore::Release(const ChunkLease& lease) {
  BOOST_OUTCOME_TRY(
      access_.update_row(kChunks, ChunkKey(lease.id.job, lease.id.number),
                         ToJson(ReleaseChunk(lease.record)), lease.etag));
  return Success();
}

Result<void> ChunkStore::Renew(SessionLease& lease) {
  const TimePoint started = clock_();
  const std::string node = NodeOfSession(lease.session());
  const Result<Row> row = access_.read_row(kSessions, node);
  Result<std::string> written = Error{ErrorCode::kUnavailable, ""};
  if (row) {
    BOOST_OUTCOME_TRY(const SessionRecord record,
                      ParseSessionRecord(row.value().value));
    const bool is_own = record.session == lease.session();
    // A session that has started is lost when its row names another session or
    // is marked lapsed. One that has not started replaces any existing row.
    if (lease.has_started() && (!is_own || record.lapsed)) {
      lease.OnLost();
      return Error{ErrorCode::kConflict,
                   "another process replaced the session or marked it lapsed"};
    }
    written = access_.update_row(kSessions, node, ToJson(lease.NextRecord()),
                                 row.value().etag);
  } else if (row.error().code == ErrorCode::kNotFound && !lease.has_started()) {
    written = access_.create_row(kSessions, node, ToJson(lease.NextRecord()));
  } else if (row.error().code == ErrorCode::kNotFound) {
    lease.OnLost();
    return Error{ErrorCode::kConflict, "the session row was deleted"};
  } else {
    written = row.error();
  }
  if (!written) {
    lease.OnRenewalFailed(clock_());
    return written.error();
  }
  lease.OnRenewed(started);
  return Success();
}

Result<void> ChunkStore::EndSession(const SessionLease& lease) {
  const std::string node = NodeOfSession(lease.session());
  BOOST_OUTCOME_TRY(const Row row, access_.read_row(kSessions, node));
  BOOST_OUTCOME_TRY(SessionRecord record, ParseSessionRecord(row.value));
  if (record.session == lease.session() && !record.lapsed) {
    record.lapsed = true;
    BOOST_OUTCOME_TRY(
        access_.update_row(kSessions, node, ToJson(record), row.etag));
  }
  return Success();
}

Result<bool> ChunkStore::IsLapsed(const std::string& session) {
  const std::string node = NodeOfSession(session);
  const TimePoint before = clock_();
  const Result<Row> row = access_.read_row(kSessions, node);
  std::optional<SessionRecord> record;
  if (row) {
    BOOST_OUTCOME_TRY(record, ParseSessionRecord(row.value().value));
  } else if (row.error().code != ErrorCode::kNotFound) {
    return row.error();
  }
  switch (observer_.Observe(session, record, before, clock_())) {
    case SessionObserver::Liveness::kLive:
      return false;
    case SessionObserver::Liveness::kLapsed:
      return true;
    case SessionObserver::Liveness::kExpired:
      break;
  }
  record->lapsed = true;
  const Result<std::string> marked =
      access_.update_row(kSessions, node, ToJson(*record), row.value().etag);
  if (!marked && marked.error().code != ErrorCode::kConflict) {
    return marked.error();
  }
  return marked.has_value();
}

Result<void> ChunkStore::EndCompletedJob(const JobRecord& job,
                                         const JobCounts& counts,
                                         const std::string& etag,
                                         std::chrono::sys_seconds now) {
  const Result<std::string> updated =
      access_.update_row(kJobs, JobKey(job.workspace, job.id),
                         ToJson(CompleteJob(job, counts, now)), etag);
  // On a conflict, another entry or a cancellation has ended the job.
  if (!updated && updated.error().code != ErrorCode::kConflict) {
    return updated.error();
  }
  return jobs_.RemoveActiveJob(job.id);
}

}  // namespace carawayrelay

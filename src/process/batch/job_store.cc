#include "process/batch/job_store.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "carawayrelay/version.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

const std::string kFiles = "files";
const std::string kJobs = "jobs";
const std::string kChunks = "chunks";
const std::string kActiveJobs = "active_jobs";

constexpr size_t kIdHexDigits = 32;
// A conflict means that another writer changed the job row and made progress,
// so a few attempts are enough.
constexpr int kMaxCancelAttempts = 8;

std::string RowKey(const std::string& workspace, const std::string& id) {
  return workspace + "/" + id;
}

struct CommittedChunks {
  std::vector<std::uint64_t> numbers;
  std::vector<std::string> objects;
  JobCounts counts;
};

Result<CommittedChunks> ReadCommittedChunks(const StoreAccess& access,
                                            const std::string& job) {
  BOOST_OUTCOME_TRY(const std::vector<KeyedRow> rows,
                    ListAllRows(access, kChunks, job + "/"));
  CommittedChunks committed;
  for (const KeyedRow& row : rows) {
    BOOST_OUTCOME_TRY(const ChunkRecord chunk, ParseChunkRecord(row.row.value));
    if (chunk.state == ChunkState::kDone) {
      committed.numbers.push_back(std::stoull(row.key.substr(job.size() + 1)));
      committed.objects.push_back(chunk.result_object);
      committed.counts.succeeded += chunk.counts.succeeded;
      committed.counts.failed += chunk.counts.failed;
    }
  }
  return committed;
}

}  // namespace

JobStore::JobStore(StoreAccess access, Options options)
    : access_(std::move(access)), options_(options) {}

Result<FileRecord> JobStore::SaveFile(const std::string& workspace,
                                      const std::string& filename,
                                      const std::string& content,
                                      const std::vector<std::string>& models,
                                      std::chrono::sys_seconds now) {
  FileRecord file;
  file.content_hash = Sha256Hex(content);
  file.id = "file-" + Sha256Hex(std::to_string(workspace.size()) + ":" +
                                workspace + file.content_hash)
                          .substr(0, kIdHexDigits);
  Result<FileRecord> existing = ReadFile(workspace, file.id);
  if (existing || existing.error().code != ErrorCode::kNotFound) {
    return existing;
  }
  file.workspace = workspace;
  file.segment_bytes = options_.segment_bytes;
  file.filename = filename;
  file.bytes = content.size();
  file.created_at = now;
  file.models = models;
  const std::vector<LineSegment> segments =
      SplitLines(content, options_.segment_bytes);
  for (size_t i = 0; i < segments.size(); ++i) {
    file.segments.push_back(segments[i].items);
    BOOST_OUTCOME_TRY(access_.write_object(file.SegmentObjectName(i),
                                           std::string(segments[i].text)));
  }
  const Result<std::string> created =
      access_.create_row(kFiles, RowKey(workspace, file.id), ToJson(file));
  if (created) {
    return file;
  }
  if (created.error().code == ErrorCode::kConflict) {
    return ReadFile(workspace, file.id);
  }
  return created.error();
}

Result<FileRecord> JobStore::ReadFile(const std::string& workspace,
                                      const std::string& id) {
  BOOST_OUTCOME_TRY(const Row row,
                    access_.read_row(kFiles, RowKey(workspace, id)));
  BOOST_OUTCOME_TRY(FileRecord file, ParseFileRecord(row.value));
  // A workspace name may contain the separator of the row key, so this row may
  // belong to another workspace.
  if (file.workspace != workspace || file.id != id) {
    return Error{ErrorCode::kNotFound, "no file " + id};
  }
  return file;
}

Result<std::string> JobStore::ReadFileContent(const FileRecord& file) {
  std::string content;
  content.reserve(file.bytes);
  for (size_t i = 0; i < file.segments.size(); ++i) {
    BOOST_OUTCOME_TRY(const std::string segment,
                      access_.read_object(file.SegmentObjectName(i)));
    content += segment;
  }
  return content;
}

Result<JobRecord> JobStore::FindExistingJob(const JobRecord& job) {
  BOOST_OUTCOME_TRY(JobRecord existing, ReadJob(job.workspace, job.id));
  if (existing.content_hash != job.content_hash) {
    return Error{ErrorCode::kConflict, "a job of this name has other content"};
  }
  return existing;
}

Result<JobRecord> JobStore::SaveJob(const JobRecord& job) {
  Result<JobRecord> existing = FindExistingJob(job);
  if (existing || existing.error().code != ErrorCode::kNotFound) {
    return existing;
  }
  // Writes the index row first: a job without an index row would never run,
  // while an index row without a job is harmless. The index row stays until the
  // job has ended.
  BOOST_OUTCOME_TRY(AddActiveJob(job));
  const Result<std::string> created =
      access_.create_row(kJobs, RowKey(job.workspace, job.id), ToJson(job));
  if (created) {
    return job;
  }
  if (created.error().code != ErrorCode::kConflict) {
    return created.error();
  }
  Result<JobRecord> other = FindExistingJob(job);
  if (!other && other.error().code == ErrorCode::kUnavailable) {
    // A concurrent call created the job. It may have the requested content, so
    // the request may have taken effect.
    return Error{ErrorCode::kUnknown, other.error().message};
  }
  return other;
}

Result<JobRecord> JobStore::ReadJob(const std::string& workspace,
                                    const std::string& id) {
  BOOST_OUTCOME_TRY(const Row row,
                    access_.read_row(kJobs, RowKey(workspace, id)));
  BOOST_OUTCOME_TRY(JobRecord job, ParseJobRecord(row.value));
  if (job.workspace != workspace || job.id != id) {
    return Error{ErrorCode::kNotFound, "no batch job " + id};
  }
  return job;
}

Result<std::vector<JobRecord>> JobStore::ListJobs(const std::string& workspace,
                                                  const std::string& after,
                                                  size_t limit) {
  BOOST_OUTCOME_TRY(
      const std::vector<KeyedRow> rows,
      access_.list_rows(kJobs, workspace + "/",
                        after.empty() ? "" : RowKey(workspace, after), limit));
  std::vector<JobRecord> jobs;
  for (const KeyedRow& row : rows) {
    BOOST_OUTCOME_TRY(JobRecord job, ParseJobRecord(row.row.value));
    if (job.workspace == workspace) {
      jobs.push_back(std::move(job));
    }
  }
  return jobs;
}

Result<JobCounts> JobStore::CountResults(const JobRecord& job) {
  if (job.state != JobState::kRunning) {
    return job.counts;
  }
  BOOST_OUTCOME_TRY(const CommittedChunks committed,
                    ReadCommittedChunks(access_, job.id));
  return committed.counts;
}

Result<JobRecord> JobStore::CancelJob(const std::string& workspace,
                                      const std::string& id,
                                      std::chrono::sys_seconds now) {
  for (int attempt = 0; attempt < kMaxCancelAttempts; ++attempt) {
    BOOST_OUTCOME_TRY(const Row row,
                      access_.read_row(kJobs, RowKey(workspace, id)));
    BOOST_OUTCOME_TRY(JobRecord job, ParseJobRecord(row.value));
    if (job.workspace != workspace || job.id != id) {
      return Error{ErrorCode::kNotFound, "no batch job " + id};
    }
    if (job.state != JobState::kRunning) {
      return job;
    }
    BOOST_OUTCOME_TRY(CommittedChunks committed,
                      ReadCommittedChunks(access_, id));
    const JobRecord cancelled = carawayrelay::CancelJob(
        std::move(job), std::move(committed.numbers), committed.counts, now);
    const Result<std::string> updated = access_.update_row(
        kJobs, RowKey(workspace, id), ToJson(cancelled), row.etag);
    if (updated) {
      // If this fails, the next entry that scans the job removes the row.
      static_cast<void>(RemoveActiveJob(id));
      return cancelled;
    }
    if (updated.error().code != ErrorCode::kConflict) {
      return updated.error();
    }
  }
  return Error{ErrorCode::kUnavailable, "the job row changes too often"};
}

Result<std::string> JobStore::ReadResults(const JobRecord& job,
                                          ResultKind kind) {
  if (job.state == JobState::kRunning) {
    return Error{ErrorCode::kNotFound, "the job has not ended"};
  }
  BOOST_OUTCOME_TRY(const CommittedChunks committed,
                    ReadCommittedChunks(access_, job.id));
  std::string lines;
  // Skips chunks that were committed after the job was cancelled. Both lists of
  // chunk numbers are in ascending order.
  size_t visible_count = 0;
  for (size_t i = 0; i < committed.numbers.size(); ++i) {
    if (job.state == JobState::kCancelled) {
      if (visible_count == job.result_chunks.size() ||
          job.result_chunks[visible_count] != committed.numbers[i]) {
        continue;
      }
      ++visible_count;
    }
    BOOST_OUTCOME_TRY(const std::string object,
                      access_.read_object(committed.objects[i]));
    const std::optional<std::string> part = ResultLines(object, kind);
    if (!part) {
      return Error{ErrorCode::kInternal,
                   "result object " + committed.objects[i] + " is damaged"};
    }
    lines += *part;
  }
  return lines;
}

Result<void> JobStore::AddActiveJob(const JobRecord& job) {
  const json row = {{"workspace", job.workspace}, {"models", job.models}};
  const Result<std::string> created =
      access_.create_row(kActiveJobs, job.id, row.dump());
  if (!created && created.error().code != ErrorCode::kConflict) {
    return created.error();
  }
  return Success();
}

Result<std::vector<ActiveJob>> JobStore::ReadActiveJobs(
    const std::string& after,
    size_t limit) {
  BOOST_OUTCOME_TRY(const std::vector<KeyedRow> rows,
                    access_.list_rows(kActiveJobs, "", after, limit));
  std::vector<ActiveJob> jobs;
  for (const KeyedRow& row : rows) {
    try {
      const json value = json::parse(row.row.value);
      jobs.push_back({.id = row.key,
                      .workspace = value.at("workspace"),
                      .models = value.at("models")});
    } catch (const json::exception& e) {
      return Error{ErrorCode::kInternal, std::string("index row: ") + e.what()};
    }
  }
  return jobs;
}

Result<void> JobStore::RemoveActiveJob(const std::string& id) {
  const Result<Row> row = access_.read_row(kActiveJobs, id);
  if (!row) {
    return row.error().code == ErrorCode::kNotFound ? Result<void>(Success())
                                                    : row.error();
  }
  return access_.delete_row(kActiveJobs, id, row.value().etag);
}

}  // namespace carawayrelay

#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "carawayrelay/request.h"
#include "process/batch/file_record.h"

namespace carawayrelay {

enum class JobState { kRunning, kCompleted, kCancelled };

// The items of one chunk, a range within one segment of the input file.
struct ChunkRange {
  size_t segment = 0;
  std::uint64_t first_in_segment = 0;
  std::uint64_t first_item = 0;  // index within the job
  std::uint64_t items = 0;
};

// Numbers of items that have a result that clients can read.
struct JobCounts {
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
};

// Parameters of a job that a client creates.
struct JobRequest {
  std::string workspace;
  std::string name;  // empty when the job has no name
  FileRecord input;
  std::string completion_window;
  std::map<std::string, std::string> metadata;
  std::uint64_t items_per_chunk = 0;
};

// Row value of a job.
struct JobRecord {
  std::string id;
  std::string workspace;
  std::string content_hash;
  std::string input_file;
  std::string completion_window;
  std::map<std::string, std::string> metadata;
  std::chrono::sys_seconds created_at;
  std::chrono::sys_seconds ended_at;  // 0 while the job runs
  std::uint64_t items_per_chunk = 0;
  std::vector<std::uint64_t> segments;  // as in FileRecord
  std::vector<std::string> models;
  JobState state = JobState::kRunning;
  // Set when the job is cancelled, in ascending order. Only the results of
  // these chunks are visible, so that a chunk commit that was in progress
  // during the cancellation adds no results.
  std::vector<std::uint64_t> result_chunks;
  // Set when the job ends.
  JobCounts counts;

  std::uint64_t ItemCount() const;
  std::uint64_t ChunkCount() const;
  // `chunk` must be less than ChunkCount().
  ChunkRange ChunkAt(std::uint64_t chunk) const;
};

// Derives the id of a named job from workspace and name, so that a resent
// request finds the job that exists already. For a job without a name, `random`
// makes the id unique.
std::string JobId(const std::string& workspace,
                  const std::string& name,
                  const std::string& random);

JobRecord CreateJob(const JobRequest& request,
                    const std::string& id,
                    std::chrono::sys_seconds now);
// CompleteJob() and CancelJob() require a running job.
JobRecord CompleteJob(JobRecord job,
                      const JobCounts& counts,
                      std::chrono::sys_seconds now);
JobRecord CancelJob(JobRecord job,
                    std::vector<std::uint64_t> result_chunks,
                    const JobCounts& counts,
                    std::chrono::sys_seconds now);

std::string ToJson(const JobRecord& record);
// Fails with kInternal when the row is malformed.
Result<JobRecord> ParseJobRecord(const std::string& text);

}  // namespace carawayrelay

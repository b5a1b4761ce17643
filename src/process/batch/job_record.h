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

// Items of one chunk: a range within one segment of the input file.
struct ChunkRange {
  size_t segment = 0;
  std::uint64_t first_in_segment = 0;
  std::uint64_t first_item = 0;  // counted over the whole job
  std::uint64_t items = 0;
};

// Items of a job that have a visible result.
struct JobCounts {
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
};

// What a caller asks for when it creates a job.
struct JobRequest {
  std::string workspace;
  std::string name;  // empty for a job without a name
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
  std::chrono::sys_seconds ended_at;  // 0 while running
  std::uint64_t items_per_chunk = 0;
  std::vector<std::uint64_t> segments;
  std::vector<std::string> models;
  JobState state = JobState::kRunning;
  // Set when the job ends. A cancelled job shows the results of exactly these
  // chunks, so that a commit that was under way during the cancellation is not
  // accepted.
  std::vector<std::uint64_t> result_chunks;
  JobCounts counts;

  std::uint64_t ItemCount() const;
  std::uint64_t ChunkCount() const;
  // `chunk` must be less than ChunkCount().
  ChunkRange ChunkAt(std::uint64_t chunk) const;
};

// The id of a named job follows from workspace and name, so that a resend finds
// the first job. `random` makes the id of a job without a name unique.
std::string JobId(const std::string& workspace,
                  const std::string& name,
                  const std::string& random);

JobRecord CreateJob(const JobRequest& request,
                    const std::string& id,
                    std::chrono::sys_seconds now);
// Both require a running job.
JobRecord CompleteJob(JobRecord job,
                      const JobCounts& counts,
                      std::chrono::sys_seconds now);
JobRecord CancelJob(JobRecord job,
                    std::vector<std::uint64_t> result_chunks,
                    const JobCounts& counts,
                    std::chrono::sys_seconds now);

std::string ToJson(const JobRecord& record);
// Fails with kInternal when the row is damaged.
Result<JobRecord> ParseJobRecord(const std::string& text);

}  // namespace carawayrelay

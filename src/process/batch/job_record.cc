#include "process/batch/job_record.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

#include "carawayrelay/version.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

// 128 bits of the hash make collisions negligible and keep ids short.
constexpr size_t kIdHexDigits = 32;

std::uint64_t ChunksIn(std::uint64_t items, std::uint64_t items_per_chunk) {
  return (items + items_per_chunk - 1) / items_per_chunk;
}

const char* ToString(JobState state) {
  switch (state) {
    case JobState::kRunning:
      return "running";
    case JobState::kCompleted:
      return "completed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "running";
}

JobState ParseState(const std::string& name) {
  return name == "completed"   ? JobState::kCompleted
         : name == "cancelled" ? JobState::kCancelled
                               : JobState::kRunning;
}

std::chrono::sys_seconds ReadTime(const json& row, const char* name) {
  return std::chrono::sys_seconds(
      std::chrono::seconds(row.at(name).get<std::int64_t>()));
}

}  // namespace

std::uint64_t JobRecord::ItemCount() const {
  return std::accumulate(segments.begin(), segments.end(), std::uint64_t{0});
}

std::uint64_t JobRecord::ChunkCount() const {
  std::uint64_t count = 0;
  for (const std::uint64_t items : segments) {
    count += ChunksIn(items, items_per_chunk);
  }
  return count;
}

ChunkRange JobRecord::ChunkAt(std::uint64_t chunk) const {
  ChunkRange range;
  for (const std::uint64_t items : segments) {
    const std::uint64_t chunks = ChunksIn(items, items_per_chunk);
    if (chunk < chunks) {
      range.first_in_segment = chunk * items_per_chunk;
      range.first_item += range.first_in_segment;
      range.items = std::min(items_per_chunk, items - range.first_in_segment);
      return range;
    }
    chunk -= chunks;
    range.first_item += items;
    ++range.segment;
  }
  assert(false && "chunk number out of range");
  return range;
}

std::string JobId(const std::string& workspace,
                  const std::string& name,
                  const std::string& random) {
  // The length prefix gives ("ab", "c") and ("a", "bc") different ids, and the
  // letter keeps a name from matching a random value.
  const std::string identity = name.empty() ? "r" + random : "n" + name;
  return "batch_" + Sha256Hex(std::to_string(workspace.size()) + ":" +
                              workspace + identity)
                        .substr(0, kIdHexDigits);
}

JobRecord CreateJob(const JobRequest& request,
                    const std::string& id,
                    std::chrono::sys_seconds now) {
  assert(request.items_per_chunk > 0);
  assert(request.input.workspace == request.workspace);
  JobRecord job;
  job.id = id;
  job.workspace = request.workspace;
  job.content_hash = request.input.content_hash;
  job.input_file = request.input.id;
  job.completion_window = request.completion_window;
  job.metadata = request.metadata;
  job.created_at = now;
  job.items_per_chunk = request.items_per_chunk;
  job.segments = request.input.segments;
  job.models = request.input.models;
  return job;
}

JobRecord CompleteJob(JobRecord job,
                      const JobCounts& counts,
                      std::chrono::sys_seconds now) {
  assert(job.state == JobState::kRunning);
  assert(counts.succeeded + counts.failed == job.ItemCount());
  job.state = JobState::kCompleted;
  job.counts = counts;
  job.ended_at = now;
  return job;
}

JobRecord CancelJob(JobRecord job,
                    std::vector<std::uint64_t> result_chunks,
                    const JobCounts& counts,
                    std::chrono::sys_seconds now) {
  assert(job.state == JobState::kRunning);
  assert(counts.succeeded + counts.failed <= job.ItemCount());
  job.state = JobState::kCancelled;
  job.result_chunks = std::move(result_chunks);
  job.counts = counts;
  job.ended_at = now;
  return job;
}

std::string ToJson(const JobRecord& record) {
  return json{{"id", record.id},
              {"workspace", record.workspace},
              {"content_hash", record.content_hash},
              {"input_file", record.input_file},
              {"completion_window", record.completion_window},
              {"metadata", record.metadata},
              {"created_at", record.created_at.time_since_epoch().count()},
              {"ended_at", record.ended_at.time_since_epoch().count()},
              {"items_per_chunk", record.items_per_chunk},
              {"segments", record.segments},
              {"models", record.models},
              {"state", ToString(record.state)},
              {"result_chunks", record.result_chunks},
              {"succeeded", record.counts.succeeded},
              {"failed", record.counts.failed}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<JobRecord> ParseJobRecord(const std::string& text) {
  try {
    const json row = json::parse(text);
    JobRecord record;
    row.at("id").get_to(record.id);
    row.at("workspace").get_to(record.workspace);
    row.at("content_hash").get_to(record.content_hash);
    row.at("input_file").get_to(record.input_file);
    row.at("completion_window").get_to(record.completion_window);
    row.at("metadata").get_to(record.metadata);
    record.created_at = ReadTime(row, "created_at");
    record.ended_at = ReadTime(row, "ended_at");
    row.at("items_per_chunk").get_to(record.items_per_chunk);
    row.at("segments").get_to(record.segments);
    row.at("models").get_to(record.models);
    record.state = ParseState(row.at("state").get<std::string>());
    row.at("result_chunks").get_to(record.result_chunks);
    row.at("succeeded").get_to(record.counts.succeeded);
    row.at("failed").get_to(record.counts.failed);
    if (record.items_per_chunk == 0) {
      return Error{ErrorCode::kInternal, "job row: items_per_chunk is 0"};
    }
    return record;
  } catch (const json::exception& e) {
    return Error{ErrorCode::kInternal, std::string("job row: ") + e.what()};
  }
}

}  // namespace carawayrelay

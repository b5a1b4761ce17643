#include "process/batch/batch_json.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;

const std::string kOutputPrefix = "file-output-";
const std::string kErrorPrefix = "file-error-";

json UnixSeconds(std::chrono::sys_seconds time) {
  return time.time_since_epoch().count();
}

std::string Serialize(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const char* BatchStatus(const JobRecord& job, const JobCounts& counts) {
  switch (job.state) {
    case JobState::kRunning:
      return counts.succeeded + counts.failed == job.ItemCount()
                 ? "finalizing"
                 : "in_progress";
    case JobState::kCompleted:
      return "completed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "in_progress";
}

json BatchObject(const JobRecord& job, const JobCounts& counts) {
  json batch = {{"id", job.id},
                {"object", "batch"},
                {"endpoint", kBatchUrl},
                {"errors", nullptr},
                {"input_file_id", job.input_file},
                {"completion_window", job.completion_window},
                {"status", BatchStatus(job, counts)},
                {"output_file_id", nullptr},
                {"error_file_id", nullptr},
                {"created_at", UnixSeconds(job.created_at)},
                {"in_progress_at", UnixSeconds(job.created_at)},
                {"expires_at", nullptr},
                {"finalizing_at", nullptr},
                {"completed_at", nullptr},
                {"failed_at", nullptr},
                {"expired_at", nullptr},
                {"cancelling_at", nullptr},
                {"cancelled_at", nullptr},
                {"request_counts",
                 {{"total", job.ItemCount()},
                  {"completed", counts.succeeded},
                  {"failed", counts.failed}}},
                {"metadata", job.metadata}};
  if (job.state == JobState::kRunning) {
    return batch;
  }
  if (counts.succeeded > 0) {
    batch["output_file_id"] = ResultFileId({job.id, ResultKind::kOutput});
  }
  if (counts.failed > 0) {
    batch["error_file_id"] = ResultFileId({job.id, ResultKind::kError});
  }
  if (job.state == JobState::kCompleted) {
    batch["finalizing_at"] = UnixSeconds(job.ended_at);
    batch["completed_at"] = UnixSeconds(job.ended_at);
  } else {
    batch["cancelling_at"] = UnixSeconds(job.ended_at);
    batch["cancelled_at"] = UnixSeconds(job.ended_at);
  }
  return batch;
}

json FileObject(const std::string& id,
                std::uint64_t bytes,
                std::chrono::sys_seconds created_at,
                const std::string& filename,
                const char* purpose) {
  return {{"id", id},
          {"object", "file"},
          {"bytes", bytes},
          {"created_at", UnixSeconds(created_at)},
          {"filename", filename},
          {"purpose", purpose},
          {"status", "processed"}};
}

}  // namespace

std::string ResultFileId(const ResultFile& file) {
  return (file.kind == ResultKind::kOutput ? kOutputPrefix : kErrorPrefix) +
         file.job;
}

std::optional<ResultFile> ParseResultFileId(const std::string& id) {
  for (const ResultKind kind : {ResultKind::kOutput, ResultKind::kError}) {
    const std::string prefix = ResultFileId({"", kind});
    if (id.starts_with(prefix)) {
      return ResultFile{id.substr(prefix.size()), kind};
    }
  }
  return std::nullopt;
}

std::string FileJson(const FileRecord& file) {
  return Serialize(
      FileObject(file.id, file.bytes, file.created_at, file.filename, "batch"));
}

std::string ResultFileJson(const ResultFile& file,
                           const JobRecord& job,
                           size_t bytes) {
  const std::string suffix =
      file.kind == ResultKind::kOutput ? "_output.jsonl" : "_error.jsonl";
  return Serialize(FileObject(ResultFileId(file), bytes, job.ended_at,
                              job.id + suffix, "batch_output"));
}

std::string BatchJson(const JobRecord& job, const JobCounts& counts) {
  return Serialize(BatchObject(job, counts));
}

std::string BatchListJson(const std::vector<JobRecord>& jobs, bool has_more) {
  json list = {{"object", "list"},
               {"data", json::array()},
               {"first_id", nullptr},
               {"last_id", nullptr},
               {"has_more", has_more}};
  for (const JobRecord& job : jobs) {
    list["data"].push_back(BatchObject(job, job.counts));
  }
  if (!jobs.empty()) {
    list["first_id"] = jobs.front().id;
    list["last_id"] = jobs.back().id;
  }
  return Serialize(list);
}

}  // namespace carawayrelay

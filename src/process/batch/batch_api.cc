#include "process/batch/batch_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>

#include "process/batch/batch_json.h"
#include "process/batch/batch_route.h"
#include "process/batch/batch_upload.h"
#include "process/dispatch/refusal_json.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kRetryAfter{1};
constexpr size_t kDefaultPageSize = 20;
constexpr size_t kMaxPageSize = 100;
// Without a limit, the response could be as large as the uploaded file.
constexpr size_t kMaxFindings = 1000;
constexpr size_t kMaxJobNameBytes = 512;

BatchApi::Response RefusalResponse(const Refusal& refusal) {
  return {.http_status = HttpStatus(refusal.code),
          .headers = RefusalHeaders(refusal),
          .body = ToJson(refusal)};
}

BatchApi::Response InvalidRequestResponse(std::string reason) {
  return RefusalResponse({.code = RefusalCode::kInvalidRequest,
                          .run_state = RunState::kNotRun,
                          .reason = std::move(reason)});
}

BatchApi::Response ErrorResponse(const Error& error) {
  Refusal refusal{.reason = error.message};
  switch (error.code) {
    case ErrorCode::kInvalid:
      refusal.code = RefusalCode::kInvalidRequest;
      break;
    case ErrorCode::kNotFound:
      refusal.code = RefusalCode::kNotFound;
      break;
    case ErrorCode::kConflict:
      refusal.code = RefusalCode::kConflict;
      break;
    case ErrorCode::kUnavailable:
      refusal.code = RefusalCode::kStoreDown;
      refusal.retry_after = kRetryAfter;
      break;
    case ErrorCode::kUnknown:
      refusal.code = RefusalCode::kStoreDown;
      refusal.run_state = RunState::kUnknown;
      refusal.retry_after = kRetryAfter;
      break;
    case ErrorCode::kClosed:
    case ErrorCode::kInternal:
      refusal.code = RefusalCode::kInternal;
      refusal.run_state = RunState::kUnknown;
      break;
  }
  return RefusalResponse(refusal);
}

BatchApi::Response JsonResponse(std::string body) {
  return {.headers = {{"Content-Type", "application/json"}},
          .body = std::move(body)};
}

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    path.remove_prefix(1);  // the slash
    const size_t end = std::min(path.find('/'), path.size());
    parts.emplace_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  return parts;
}

// Returns the value of a query parameter, or an empty string. Does not decode
// percent escapes: ids and numbers contain none.
std::string QueryValue(const std::string& query, const std::string& name) {
  const std::string text = "&" + query;
  const std::string key = "&" + name + "=";
  const size_t start = text.find(key);
  if (start == std::string::npos) {
    return {};
  }
  const size_t value = start + key.size();
  return text.substr(value, text.find('&', value) - value);
}

// Fields of a request that creates a job.
struct JobFields {
  std::string input_file;
  std::string name;
  std::string completion_window;
  std::map<std::string, std::string> metadata;
};

std::optional<JobFields> ParseJobFields(const HttpRequest& request,
                                        Findings& findings) {
  const json body = json::parse(request.body, nullptr, false);
  JsonReader reader(body, "", findings);
  JobFields fields;
  fields.input_file = reader.RequiredString("input_file_id");
  if (reader.RequiredString("endpoint") != kBatchUrl) {
    findings.Add("/endpoint", "must be \"" + std::string(kBatchUrl) + "\"");
  }
  fields.completion_window = reader.OptionalString("completion_window", "24h");
  const json* metadata = reader.Find("metadata");
  if (metadata != nullptr && !metadata->is_null()) {
    if (!metadata->is_object()) {
      findings.Add("/metadata", "must be an object");
    } else {
      for (const auto& [key, value] : metadata->items()) {
        if (value.is_string()) {
          fields.metadata[key] = value.get<std::string>();
        } else {
          findings.Add("/metadata/" + key, "must be a string");
        }
      }
    }
  }
  const auto name = fields.metadata.find("name");
  const auto header = request.headers.find("idempotency-key");
  if (name != fields.metadata.end()) {
    fields.name = name->second;
  } else if (header != request.headers.end()) {
    fields.name = header->second;
  }
  if (fields.name.size() > kMaxJobNameBytes) {
    findings.Add("/metadata/name", "is longer than 512 bytes");
  }
  if (!findings.empty()) {
    return std::nullopt;
  }
  return fields;
}

// Returns a refusal that lists every model that the workspace cannot use in a
// batch job, or nothing when it can use all of them.
std::optional<Refusal> CheckModels(const ConfigSnapshot& config,
                                   const std::string& workspace,
                                   const std::vector<std::string>& models) {
  std::string reasons;
  bool is_forbidden = false;
  for (const std::string& model : models) {
    if (const auto error = CheckBatchRoute(config, workspace, model)) {
      reasons += error->message + "\n";
      is_forbidden =
          is_forbidden || error->code == ToString(RefusalCode::kForbidden);
    }
  }
  if (reasons.empty()) {
    return std::nullopt;
  }
  return Refusal{.code = is_forbidden ? RefusalCode::kForbidden
                                      : RefusalCode::kInvalidRequest,
                 .run_state = RunState::kNotRun,
                 .reason = std::move(reasons)};
}

}  // namespace

BatchApi::BatchApi(JobStore& store,
                   Options options,
                   std::function<std::string()> random_id)
    : store_(store), options_(options), random_id_(std::move(random_id)) {}

bool BatchApi::IsBatchPath(const std::string& path) {
  const std::vector<std::string> parts = SplitPath(path);
  return parts.size() >= 2 && parts[0] == "v1" &&
         (parts[1] == "files" || parts[1] == "batches");
}

BatchApi::Response BatchApi::Handle(const HttpRequest& request,
                                    const std::string& workspace,
                                    const ConfigSnapshot& config,
                                    std::chrono::sys_seconds now) {
  const std::vector<std::string> parts = SplitPath(request.path);
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  const std::string collection = parts.size() > 1 ? parts[1] : "";
  const std::string id = parts.size() > 2 ? parts[2] : "";
  const std::string action = parts.size() > 3 ? parts[3] : "";
  if (parts.size() > 4 || (parts.size() > 2 && id.empty())) {
    return ErrorResponse({ErrorCode::kNotFound, "no such path"});
  }
  if (collection == "files") {
    if (is_post && parts.size() == 2) {
      return CreateFile(request, workspace, now);
    }
    if (is_get && parts.size() == 3) {
      return GetFile(workspace, id);
    }
    if (is_get && action == "content") {
      return GetFileContent(workspace, id);
    }
  } else if (collection == "batches") {
    if (is_post && parts.size() == 2) {
      return CreateJob(request, workspace, config, now);
    }
    if (is_get && parts.size() == 2) {
      return ListJobs(request, workspace);
    }
    if (is_get && parts.size() == 3) {
      return GetJob(workspace, id);
    }
    if (is_post && action == "cancel") {
      return CancelJob(workspace, id, now);
    }
  }
  return ErrorResponse({ErrorCode::kNotFound,
                        "no operation " + request.method + " " + request.path});
}

BatchApi::Response BatchApi::CreateFile(const HttpRequest& request,
                                        const std::string& workspace,
                                        std::chrono::sys_seconds now) {
  const Result<BatchUpload> upload = ParseUpload(request);
  if (!upload) {
    return ErrorResponse(upload.error());
  }
  BatchLines lines = ParseBatchLines(upload.value().content);
  if (!lines.findings.empty()) {
    const size_t total = lines.findings.size();
    std::string note;
    if (total > kMaxFindings) {
      lines.findings.resize(kMaxFindings);
      note = std::to_string(total - kMaxFindings) + " more\n";
    }
    return InvalidRequestResponse(ToText(lines.findings) + note);
  }
  if (lines.items.empty()) {
    return InvalidRequestResponse("the file has no items");
  }
  std::set<std::string> models;
  for (const BatchItem& item : lines.items) {
    models.insert(item.model);
  }
  const Result<FileRecord> file = store_.SaveFile(
      workspace, upload.value().filename, upload.value().content,
      {models.begin(), models.end()}, now);
  return file ? JsonResponse(FileJson(file.value()))
              : ErrorResponse(file.error());
}

BatchApi::Response BatchApi::GetFile(const std::string& workspace,
                                     const std::string& id) {
  const std::optional<ResultFile> result = ParseResultFileId(id);
  if (!result) {
    const Result<FileRecord> file = store_.ReadFile(workspace, id);
    return file ? JsonResponse(FileJson(file.value()))
                : ErrorResponse(file.error());
  }
  const Result<JobRecord> job = store_.ReadJob(workspace, result->job);
  if (!job) {
    return ErrorResponse(job.error());
  }
  const Result<std::string> content =
      store_.ReadResults(job.value(), result->kind);
  return content ? JsonResponse(ResultFileJson(*result, job.value(),
                                               content.value().size()))
                 : ErrorResponse(content.error());
}

BatchApi::Response BatchApi::GetFileContent(const std::string& workspace,
                                            const std::string& id) {
  const std::optional<ResultFile> result = ParseResultFileId(id);
  Result<std::string> content = std::string();
  if (result) {
    const Result<JobRecord> job = store_.ReadJob(workspace, result->job);
    content = job ? store_.ReadResults(job.value(), result->kind)
                  : Result<std::string>(job.error());
  } else {
    const Result<FileRecord> file = store_.ReadFile(workspace, id);
    content = file ? store_.ReadFileContent(file.value())
                   : Result<std::string>(file.error());
  }
  if (!content) {
    return ErrorResponse(content.error());
  }
  return {.headers = {{"Content-Type", "application/jsonl"}},
          .body = std::move(content).value()};
}

BatchApi::Response BatchApi::CreateJob(const HttpRequest& request,
                                       const std::string& workspace,
                                       const ConfigSnapshot& config,
                                       std::chrono::sys_seconds now) {
  Findings findings;
  std::optional<JobFields> fields = ParseJobFields(request, findings);
  if (!fields) {
    return InvalidRequestResponse(findings.ToText());
  }
  Result<FileRecord> file = store_.ReadFile(workspace, fields->input_file);
  if (!file) {
    return ErrorResponse(file.error());
  }
  if (const std::optional<Refusal> refusal =
          CheckModels(config, workspace, file.value().models)) {
    return RefusalResponse(*refusal);
  }
  const std::string id = JobId(workspace, fields->name, random_id_());
  const JobRecord job =
      carawayrelay::CreateJob({.workspace = workspace,
                               .name = fields->name,
                               .input = std::move(file).value(),
                               .completion_window = fields->completion_window,
                               .metadata = std::move(fields->metadata),
                               .items_per_chunk = options_.items_per_chunk},
                              id, now);
  const Result<JobRecord> saved = store_.SaveJob(job);
  if (!saved) {
    return ErrorResponse(saved.error());
  }
  // For a resent job that still runs, these counts come from the job row and
  // are 0; counting its results would require a listing of its chunks.
  Response response =
      JsonResponse(BatchJson(saved.value(), saved.value().counts));
  response.event =
      LocalJobCreated{{saved.value().id, workspace, saved.value().models}};
  return response;
}

BatchApi::Response BatchApi::GetJob(const std::string& workspace,
                                    const std::string& id) {
  const Result<JobRecord> job = store_.ReadJob(workspace, id);
  if (!job) {
    return ErrorResponse(job.error());
  }
  const Result<JobCounts> counts = store_.CountResults(job.value());
  return counts ? JsonResponse(BatchJson(job.value(), counts.value()))
                : ErrorResponse(counts.error());
}

BatchApi::Response BatchApi::ListJobs(const HttpRequest& request,
                                      const std::string& workspace) {
  size_t limit = kDefaultPageSize;
  const std::string text = QueryValue(request.query, "limit");
  if (!text.empty()) {
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, limit);
    if (parsed.ec != std::errc() || parsed.ptr != end || limit == 0 ||
        limit > kMaxPageSize) {
      return InvalidRequestResponse("limit must be a number from 1 to 100");
    }
  }
  // Reads one job more than requested to find out whether another page follows.
  Result<std::vector<JobRecord>> jobs =
      store_.ListJobs(workspace, QueryValue(request.query, "after"), limit + 1);
  if (!jobs) {
    return ErrorResponse(jobs.error());
  }
  std::vector<JobRecord> page = std::move(jobs).value();
  const bool has_more = page.size() > limit;
  page.resize(std::min(page.size(), limit));
  for (JobRecord& job : page) {
    const Result<JobCounts> counts = store_.CountResults(job);
    if (!counts) {
      return ErrorResponse(counts.error());
    }
    job.counts = counts.value();
  }
  return JsonResponse(BatchListJson(page, has_more));
}

BatchApi::Response BatchApi::CancelJob(const std::string& workspace,
                                       const std::string& id,
                                       std::chrono::sys_seconds now) {
  const Result<JobRecord> job = store_.CancelJob(workspace, id, now);
  if (!job) {
    return ErrorResponse(job.error());
  }
  Response response = JsonResponse(BatchJson(job.value(), job.value().counts));
  response.event = LocalJobCancelled{id};
  return response;
}

}  // namespace carawayrelay

#include "process/commands/command_job.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string_view>
#include <thread>
#include <utility>

#include "process/batch/api_response.h"
#include "process/commands/text_file.h"
#include "process/transport/http_client.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr const char* kItemUrl = "/v1/chat/completions";
constexpr int kMaxSends = 3;
constexpr std::chrono::milliseconds kRetryWait{500};
// Long, because the file of a job may have several hundred megabytes.
constexpr std::chrono::milliseconds kRequestTimeout{120000};

// Blocking client of the client API of an entry. Repeats requests that get no
// response or are refused as unavailable, which is safe for all requests that
// it sends.
class JobClient {
 public:
  static Result<JobClient> Make(const CommandContext& context) {
    if (context.api_url.empty() || context.api_key.empty()) {
      return Error{ErrorCode::kInvalid,
                   "no address or key for the client API; pass --api "
                   "http://IP:port and --key KEY or set CARAWAYRELAY_API and "
                   "CARAWAYRELAY_KEY"};
    }
    BOOST_OUTCOME_TRY(auto http,
                      HttpClient::Make({.base_url = context.api_url,
                                        .request_timeout = kRequestTimeout}));
    return JobClient(std::move(http), context.api_key);
  }

  Result<std::string> Send(HttpCall call) {
    call.headers.push_back("Authorization: Bearer " + key_);
    Error last;
    for (int attempt = 0; attempt < kMaxSends; ++attempt) {
      if (attempt > 0) {
        std::this_thread::sleep_for(kRetryWait);
      }
      const Result<HttpResponse> response = http_->Send(call);
      Result<std::string> body = response
                                     ? ParseApiResponse(response.value())
                                     : Result<std::string>(response.error());
      if (body) {
        return body;
      }
      const bool was_unknown = last.code == ErrorCode::kUnknown;
      last = body.error();
      if (last.code == ErrorCode::kUnavailable && was_unknown) {
        last.code = ErrorCode::kUnknown;
      } else if (last.code != ErrorCode::kUnavailable &&
                 last.code != ErrorCode::kUnknown) {
        break;
      }
    }
    return last;
  }

  Result<json> SendForJson(HttpCall call) {
    BOOST_OUTCOME_TRY(const std::string body, Send(std::move(call)));
    json response = json::parse(body, nullptr, false);
    if (!response.is_object() || !response.value("id", json()).is_string()) {
      return Error{
          ErrorCode::kInternal,
          "malformed response from the entry: expected an object with an 'id'"};
    }
    return response;
  }

  Result<json> ReadJob(const std::string& id) {
    return SendForJson(
        {.method = "GET", .target = "/v1/batches/" + PercentEncode(id)});
  }

 private:
  JobClient(std::unique_ptr<HttpClient> http, std::string key)
      : http_(std::move(http)), key_(std::move(key)) {}

  std::unique_ptr<HttpClient> http_;
  std::string key_;
};

ExitCode ReportError(const Error& error, const CommandContext& context) {
  context.err << error.message << '\n';
  return ToExitCode(error.code);
}

ExitCode PrintJob(const Result<json>& job, const CommandContext& context) {
  if (!job) {
    return ReportError(job.error(), context);
  }
  const json counts = job.value().value("request_counts", json::object());
  context.out << job.value().value("id", "") << " "
              << job.value().value("status", "?") << ", "
              << counts.value("total", 0) << " items, "
              << counts.value("completed", 0) << " completed, "
              << counts.value("failed", 0) << " failed\n";
  return ExitCode::kOk;
}

std::string CompleteLine(std::string line,
                         size_t number,
                         const std::string& model) {
  json item = json::parse(line, nullptr, false);
  if (!item.is_object()) {
    return line;
  }
  if (item.contains("messages") && !item.contains("custom_id")) {
    item = {{"custom_id", "line-" + std::to_string(number)},
            {"method", "POST"},
            {"url", kItemUrl},
            {"body", std::move(item)}};
  } else if (model.empty() || !item.contains("body") ||
             !item["body"].is_object() || item["body"].contains("model")) {
    return line;
  }
  if (!model.empty() && !item["body"].contains("model")) {
    item["body"]["model"] = model;
  }
  return item.dump();
}

Result<json> Submit(const JobSubmitCommand& command,
                    const CommandContext& context) {
  BOOST_OUTCOME_TRY(const std::string text, ReadTextFile(command.file));
  BOOST_OUTCOME_TRY(JobClient client, JobClient::Make(context));
  BOOST_OUTCOME_TRY(
      const json file,
      client.SendForJson({.method = "POST",
                          .target = "/v1/files",
                          .headers = {"Content-Type: application/jsonl"},
                          .body = CompleteBatchLines(text, command.model)}));
  const json request = {{"input_file_id", file["id"]},
                        {"endpoint", kItemUrl},
                        {"completion_window", "24h"},
                        {"metadata", {{"name", command.name}}}};
  return client.SendForJson({.method = "POST",
                             .target = "/v1/batches",
                             .headers = {"Content-Type: application/json"},
                             .body = request.dump()});
}

}  // namespace

std::string CompleteBatchLines(const std::string& text,
                               const std::string& model) {
  std::string completed;
  completed.reserve(text.size());
  size_t number = 0;
  for (size_t begin = 0; begin < text.size();) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    completed += CompleteLine(text.substr(begin, end - begin), ++number, model);
    completed += '\n';
    begin = end + 1;
  }
  return completed;
}

ExitCode RunJobSubmit(const JobSubmitCommand& command,
                      const CommandContext& context) {
  return PrintJob(Submit(command, context), context);
}

ExitCode RunJobStatus(const JobStatusCommand& command,
                      const CommandContext& context) {
  Result<JobClient> client = JobClient::Make(context);
  return client ? PrintJob(client.value().ReadJob(command.id), context)
                : ReportError(client.error(), context);
}

ExitCode RunJobCancel(const JobCancelCommand& command,
                      const CommandContext& context) {
  Result<JobClient> client = JobClient::Make(context);
  if (!client) {
    return ReportError(client.error(), context);
  }
  return PrintJob(
      client.value().SendForJson(
          {.method = "POST",
           .target = "/v1/batches/" + PercentEncode(command.id) + "/cancel"}),
      context);
}

ExitCode RunJobResults(const JobResultsCommand& command,
                       const CommandContext& context) {
  Result<JobClient> client = JobClient::Make(context);
  if (!client) {
    return ReportError(client.error(), context);
  }
  const Result<json> job = client.value().ReadJob(command.id);
  if (!job) {
    return ReportError(job.error(), context);
  }
  const std::string status = job.value().value("status", "?");
  if (status != "completed" && status != "cancelled") {
    return ReportError(
        {ErrorCode::kInternal,
         "results exist only for completed or cancelled jobs; the status "
         "of this job is " +
             status},
        context);
  }
  for (const char* field : {"output_file_id", "error_file_id"}) {
    const json id = job.value().value(field, json());
    if (!id.is_string()) {
      continue;
    }
    const Result<std::string> lines = client.value().Send(
        {.method = "GET",
         .target =
             "/v1/files/" + PercentEncode(id.get<std::string>()) + "/content"});
    if (!lines) {
      return ReportError(lines.error(), context);
    }
    context.out << lines.value();
  }
  return ExitCode::kOk;
}

}  // namespace carawayrelay

#include "harness/soak_load.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "platform/base64.h"
#include "platform/header_names.h"
#include "standins/platform_backend_standin.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
namespace names = platform;

constexpr milliseconds kRequestInterval{25};
constexpr milliseconds kJobInterval{1500};
constexpr milliseconds kRequestTimeout{5000};
constexpr milliseconds kJobCallTimeout{4000};
constexpr milliseconds kJobPollInterval{400};
constexpr int kMaxAttempts = 4;
constexpr int kMaxJobAttempts = 10;
constexpr int kItemsPerJob = 5;
constexpr size_t kCompletionCapacity = 4096;
constexpr size_t kMaxProblems = 30;

// Whether the status guarantees that the request did not run and never will.
bool IsNotExecutedStatus(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

// Whether the connection was never established, so that nothing was sent.
bool IsUnsent(const CallResult& result) {
  return result.transport_error.find("connect to server") != std::string::npos;
}

std::string ExpectedStream(const std::string& id, int events) {
  std::string text;
  for (int number = 1; number <= events; ++number) {
    text += "id: " + std::to_string(number) +
            "\ndata: " + PlatformBackendStandin::EventText(id, number) + "\n\n";
  }
  return text;
}

std::string ExpectedItemText(const std::string& id, int events) {
  std::string text;
  for (int number = 1; number <= events; ++number) {
    text += (number == 1 ? "" : "\n") +
            PlatformBackendStandin::EventText(id, number);
  }
  return text;
}

int EventCountOfItem(size_t index) {
  return 20 + 10 * static_cast<int>(index);
}

}  // namespace

SoakLoad::SoakLoad(SoakFleet& fleet,
                   CurlHttpClient& http,
                   std::uint64_t seed,
                   bool is_maintenance_only)
    : fleet_(fleet),
      http_(http),
      random_(seed),
      id_prefix_("s" + std::to_string(seed)),
      is_maintenance_only_(is_maintenance_only),
      completions_(std::make_shared<Ring<Completion>>(kCompletionCapacity)) {}

void SoakLoad::AddProblem(const std::string& text) {
  if (problems_.size() < kMaxProblems) {
    problems_.push_back(text);
  }
}

std::string SoakLoad::PickFrontendUrl() {
  std::uniform_int_distribution<int> pick(0, fleet_.frontends() - 1);
  return fleet_.FrontendUrl(pick(random_));
}

void SoakLoad::Poll(TimePoint now, bool may_start_new_work) {
  while (std::optional<Completion> completion = completions_->TryPop()) {
    --open_calls_;
    if (jobs_.contains(completion->name)) {
      OnJobCompletion(*completion, now);
    } else {
      OnRequestCompletion(*completion, now);
    }
  }
  if (may_start_new_work && now >= next_request_) {
    next_request_ = now + kRequestInterval;
    StartRequest(now);
  }
  if (may_start_new_work && now >= next_job_) {
    next_job_ = now + kJobInterval;
    StartJob();
  }
  for (auto& [id, job] : jobs_) {
    if (job.has_open_call || job.is_done || now < job.next_at) {
      continue;
    }
    if (job.is_accepted) {
      PollJob(job);
    } else {
      SendJob(job);
    }
  }
}

void SoakLoad::Start(const std::string& name,
                     const std::string& attempt,
                     CallSpec spec) {
  ++open_calls_;
  http_.Start(std::move(spec), [completions = completions_, name,
                                attempt](CallResult result) {
    completions->Push(
        {.name = name, .attempt = attempt, .result = std::move(result)});
  });
}

void SoakLoad::StartRequest(TimePoint now) {
  std::uniform_int_distribution<int> draw(0, 9);
  Request request{.name = id_prefix_ + "-" + std::to_string(++last_number_),
                  .key = soak_names::kOpenKey,
                  .events = 4 + draw(random_) * 2,
                  .started = now};
  const int kind = draw(random_);
  request.kind = kind < 5   ? Kind::kStream
                 : kind < 7 ? Kind::kLookup
                            : Kind::kOrder;
  const int key = draw(random_);
  if (key < 5) {
    // About twice the rate of the workspace, so that its limit takes effect.
    request.key = soak_names::kLimitedKey;
  } else if (key == 5) {
    request.key = soak_names::kWithdrawnKey;
  }
  ++counts_.requests;
  Send(requests_[request.name] = std::move(request));
}

void SoakLoad::Probe(TimePoint now) {
  for (int i = 0; i < fleet_.frontends(); ++i) {
    Request request{.kind = Kind::kStream,
                    .name = id_prefix_ + "-" + std::to_string(++last_number_),
                    .key = soak_names::kOpenKey,
                    .events = 5,
                    .started = now};
    ++counts_.requests;
    Send(requests_[request.name] = std::move(request));
  }
}

void SoakLoad::Send(Request& request) {
  ++request.attempts;
  const std::string attempt =
      request.name + "-" + std::to_string(request.attempts);
  const char* kind = request.kind == Kind::kStream   ? "stream"
                     : request.kind == Kind::kLookup ? "lookup"
                                                     : "order";
  CallSpec spec{.method = "POST",
                .url = PickFrontendUrl() + "/" + kind + "/x",
                .headers = {std::string("Host: ") + soak_names::kHost,
                            "Content-Type: application/json",
                            std::string(names::kApiKey) + ": " + request.key,
                            std::string(names::kRequestId) + ": " + attempt,
                            std::string(names::kTokenCount) + ": 100," +
                                std::to_string(request.events),
                            std::string(names::kTimeLeft) + ": " +
                                std::to_string(kRequestTimeout.count())},
                .body = json{{"kind", kind}, {"events", request.events}}.dump(),
                .timeout = kRequestTimeout};
  Start(request.name, attempt, std::move(spec));
}

void SoakLoad::OnRequestCompletion(const Completion& completion,
                                   TimePoint now) {
  auto node = requests_.extract(completion.name);
  Request& request = node.mapped();
  const CallResult& result = completion.result;
  const int status = result.transport_error.empty() ? result.http_status : 0;
  if (status == 200) {
    CheckServed(request, completion.attempt, result);
    ++counts_.served;
    return;
  }
  const bool is_not_executed =
      IsNotExecutedStatus(status) || status == 401 || IsUnsent(result);
  if (is_not_executed) {
    not_run_.insert(completion.attempt);
  }
  if (status == 401) {
    if (request.key != soak_names::kWithdrawnKey ||
        !fleet_.key_withdrawn_at()) {
      AddProblem("status 401 for a valid key: " + completion.attempt);
    }
    return;
  }
  if (status == 429) {
    ++counts_.over_rate;
    if (request.key == soak_names::kOpenKey) {
      AddProblem("status 429 for a workspace without a rate limit: " +
                 completion.attempt);
    }
    return;
  }
  const bool may_retry = is_not_executed || request.kind != Kind::kOrder;
  if (may_retry && request.attempts < kMaxAttempts &&
      now - request.started < kRequestTimeout) {
    Send(requests_[request.name] = std::move(request));
    return;
  }
  ++(is_not_executed ? counts_.refused : counts_.failed);
  if (is_maintenance_only_ && !is_not_executed) {
    AddProblem(
        "request failed during planned maintenance: " + completion.attempt +
        ": status " + std::to_string(result.http_status) + " " +
        result.transport_error);
  }
}

void SoakLoad::CheckServed(const Request& request,
                           const std::string& attempt,
                           const CallResult& result) {
  const auto id = result.headers.find(names::kRequestId);
  if (id == result.headers.end() || id->second != attempt) {
    AddProblem("response does not have the id of its request: " + attempt);
    return;
  }
  if (request.kind == Kind::kStream) {
    if (result.body != ExpectedStream(attempt, request.events)) {
      AddProblem("stream is incomplete or has wrong events: " + attempt + ": " +
                 result.body);
    }
    return;
  }
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object() ||
      body.value("text", "") != PlatformBackendStandin::EventText(attempt, 1)) {
    AddProblem("response has wrong text: " + attempt + ": " + result.body);
  }
}

void SoakLoad::StartJob() {
  Job job{.id = id_prefix_ + "-job-" + std::to_string(++last_number_)};
  for (int i = 0; i < kItemsPerJob; ++i) {
    job.items.push_back(job.id + "-item-" + std::to_string(i));
  }
  ++counts_.jobs;
  jobs_[job.id] = std::move(job);
}

void SoakLoad::SendJob(Job& job) {
  if (++job.attempts > kMaxJobAttempts) {
    job.is_done = true;  // given up; no frontend accepted it
    return;
  }
  json items = json::array();
  for (size_t i = 0; i < job.items.size(); ++i) {
    const std::string body =
        json{{"kind", "stream"}, {"events", EventCountOfItem(i)}}.dump();
    items.push_back({{"id", job.items[i]},
                     {"path", "/bulk/item"},
                     {"headers", json::object()},
                     {"body", platform::ToBase64(body)},
                     {"tokens", 100}});
  }
  job.has_open_call = true;
  Start(job.id, job.id,
        {.method = "POST",
         .url = PickFrontendUrl() + "/bulk/x",
         .headers = {std::string("Host: ") + soak_names::kHost,
                     "Content-Type: application/json",
                     std::string(names::kApiKey) + ": " + soak_names::kOpenKey,
                     std::string(names::kRequestId) + ": " + job.id},
         .body = json{{"items", items}}.dump(),
         .timeout = kJobCallTimeout});
}

void SoakLoad::PollJob(Job& job) {
  job.has_open_call = true;
  Start(job.id, job.id,
        {.url = PickFrontendUrl() + "/lots/" + job.id + "?after=0",
         .headers = {std::string("Host: ") + soak_names::kHost,
                     std::string(names::kApiKey) + ": " + soak_names::kOpenKey},
         .timeout = kJobCallTimeout});
}

void SoakLoad::OnJobCompletion(const Completion& completion, TimePoint now) {
  Job& job = jobs_.at(completion.name);
  job.has_open_call = false;
  job.next_at = now + kJobPollInterval;
  const CallResult& result = completion.result;
  const int status = result.transport_error.empty() ? result.http_status : 0;
  if (job.is_accepted) {
    if (status == 200) {
      OnJobResults(job, result);
    } else if (status != 0 && status != 503) {
      AddProblem("status " + std::to_string(status) +
                 " for a read of accepted job " + job.id);
    }
    return;
  }
  if (status == 202) {
    job.is_accepted = true;
    ++open_jobs_;
  } else if (status != 0 && status < 500 && status != 409) {
    AddProblem("status " + std::to_string(status) +
               " for the submission of job " + job.id);
  }
}

void SoakLoad::OnJobResults(Job& job, const CallResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object() || body.value("total", 0) != kItemsPerJob) {
    AddProblem("job has a wrong total number of items: " + job.id + ": " +
               result.body);
    return;
  }
  size_t position = 0;
  for (const json& entry : body["results"]) {
    const std::string text = entry.dump();
    if (position < job.seen.size()) {
      if (job.seen[position] != text) {
        AddProblem("result changed between two reads: job " + job.id +
                   " position " + std::to_string(position));
      }
    } else {
      job.seen.push_back(text);
      const std::string id = entry.value("id", "");
      const auto item = std::find(job.items.begin(), job.items.end(), id);
      const auto index = static_cast<size_t>(item - job.items.begin());
      if (item == job.items.end() ||
          std::count_if(job.seen.begin(), job.seen.end(), [&](const auto& s) {
            return json::parse(s).value("id", "") == id;
          }) != 1) {
        AddProblem("result for an item of another job, or second result for: " +
                   id);
      } else if (entry.value("state", "") != "complete" ||
                 entry.value("text", "") !=
                     ExpectedItemText(id, EventCountOfItem(index))) {
        AddProblem("result is not complete or has wrong text: " + text);
      }
      ++counts_.items;
    }
    ++position;
  }
  // A read may return fewer results than an earlier one if the frontend's copy
  // of the store is behind, so only a read with all results ends the job.
  if (job.seen.size() == job.items.size() && position == job.items.size()) {
    job.is_done = true;
    --open_jobs_;
  }
}

std::string SoakLoad::DescribeOpenJobs() const {
  std::string text;
  for (const auto& [id, job] : jobs_) {
    if (job.is_accepted && !job.is_done) {
      text += " " + id + " (" + std::to_string(job.seen.size()) + " of " +
              std::to_string(job.items.size()) + ")";
    }
  }
  return text;
}

}  // namespace carawayrelay::tools

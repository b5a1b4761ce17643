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

constexpr milliseconds kRequestGap{25};
constexpr milliseconds kJobGap{1500};
constexpr milliseconds kRequestLimit{5000};
constexpr milliseconds kJobLimit{4000};
constexpr milliseconds kReadGap{400};
constexpr int kMaxAttempts = 4;
constexpr int kMaxJobAttempts = 10;
constexpr int kItemsOfJob = 5;
constexpr size_t kEndedCapacity = 4096;
constexpr size_t kMaxProblems = 30;

// Statuses that promise that the request did not run and never will.
bool IsPromise(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

// The connection was never made, so nothing was sent.
bool IsUnsent(const CallResult& result) {
  return result.transport_error.find("connect to server") != std::string::npos;
}

std::string WholeStream(const std::string& id, int events) {
  std::string text;
  for (int number = 1; number <= events; ++number) {
    text += "id: " + std::to_string(number) +
            "\ndata: " + PlatformBackendStandin::EventText(id, number) + "\n\n";
  }
  return text;
}

std::string ItemText(const std::string& id, int events) {
  std::string text;
  for (int number = 1; number <= events; ++number) {
    text += (number == 1 ? "" : "\n") +
            PlatformBackendStandin::EventText(id, number);
  }
  return text;
}

int EventsOfItem(size_t index) {
  return 20 + 10 * static_cast<int>(index);
}

}  // namespace

SoakLoad::SoakLoad(SoakFleet& fleet,
                   HttpRunner& http,
                   std::uint64_t seed,
                   bool is_planned_work)
    : fleet_(fleet),
      http_(http),
      random_(seed),
      prefix_("s" + std::to_string(seed)),
      is_planned_work_(is_planned_work),
      ended_(std::make_shared<Ring<Ended>>(kEndedCapacity)) {}

void SoakLoad::AddProblem(const std::string& text) {
  if (problems_.size() < kMaxProblems) {
    problems_.push_back(text);
  }
}

std::string SoakLoad::Frontend() {
  std::uniform_int_distribution<int> pick(0, fleet_.frontends() - 1);
  return fleet_.FrontendUrl(pick(random_));
}

void SoakLoad::Tick(TimePoint now, bool may_start) {
  while (std::optional<Ended> ended = ended_->TryPop()) {
    --running_;
    if (jobs_.contains(ended->name)) {
      OnJob(*ended, now);
    } else {
      OnRequest(*ended, now);
    }
  }
  if (may_start && now >= next_request_) {
    next_request_ = now + kRequestGap;
    StartRequest(now);
  }
  if (may_start && now >= next_job_) {
    next_job_ = now + kJobGap;
    StartJob();
  }
  for (auto& [id, job] : jobs_) {
    if (job.is_busy || job.is_done || now < job.next_at) {
      continue;
    }
    if (job.is_accepted) {
      ReadJob(job);
    } else {
      SendJob(job);
    }
  }
}

void SoakLoad::Start(const std::string& name,
                     const std::string& attempt,
                     CallSpec spec) {
  ++running_;
  http_.Start(
      std::move(spec), [ended = ended_, name, attempt](CallResult result) {
        ended->Push(
            {.name = name, .attempt = attempt, .result = std::move(result)});
      });
}

void SoakLoad::StartRequest(TimePoint now) {
  std::uniform_int_distribution<int> draw(0, 9);
  Request request{.name = prefix_ + "-" + std::to_string(++last_name_),
                  .key = soak_names::kOpenKey,
                  .events = 4 + draw(random_) * 2,
                  .started = now};
  const int kind = draw(random_);
  request.kind = kind < 5   ? Kind::kStream
                 : kind < 7 ? Kind::kLookup
                            : Kind::kOrder;
  const int key = draw(random_);
  if (key < 5) {
    // About twice the rate of its workspace.
    request.key = soak_names::kLimitedKey;
  } else if (key == 5) {
    request.key = soak_names::kGoneKey;
  }
  ++counts_.asked;
  Send(requests_[request.name] = std::move(request));
}

void SoakLoad::Probe(TimePoint now) {
  for (int i = 0; i < fleet_.frontends(); ++i) {
    Request request{.kind = Kind::kStream,
                    .name = prefix_ + "-" + std::to_string(++last_name_),
                    .key = soak_names::kOpenKey,
                    .events = 5,
                    .started = now};
    ++counts_.asked;
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
                .url = Frontend() + "/" + kind + "/x",
                .headers = {std::string("Host: ") + soak_names::kHost,
                            "Content-Type: application/json",
                            std::string(names::kApiKey) + ": " + request.key,
                            std::string(names::kRequestId) + ": " + attempt,
                            std::string(names::kTokenCount) + ": 100," +
                                std::to_string(request.events),
                            std::string(names::kTimeLeft) + ": " +
                                std::to_string(kRequestLimit.count())},
                .body = json{{"kind", kind}, {"events", request.events}}.dump(),
                .time_limit = kRequestLimit};
  Start(request.name, attempt, std::move(spec));
}

void SoakLoad::OnRequest(const Ended& ended, TimePoint now) {
  auto node = requests_.extract(ended.name);
  Request& request = node.mapped();
  const CallResult& result = ended.result;
  const int status = result.transport_error.empty() ? result.http_status : 0;
  if (status == 200) {
    CheckServed(request, ended.attempt, result);
    ++counts_.served;
    return;
  }
  const bool is_promise =
      IsPromise(status) || status == 401 || IsUnsent(result);
  if (is_promise) {
    not_run_.insert(ended.attempt);
  }
  if (status == 401) {
    if (request.key != soak_names::kGoneKey || !fleet_.key_withdrawn_at()) {
      AddProblem("401 for a key that holds: " + ended.attempt);
    }
    return;
  }
  if (status == 429) {
    ++counts_.over_rate;
    if (request.key == soak_names::kOpenKey) {
      AddProblem("429 without a rate: " + ended.attempt);
    }
    return;
  }
  const bool may_repeat = is_promise || request.kind != Kind::kOrder;
  if (may_repeat && request.attempts < kMaxAttempts &&
      now - request.started < kRequestLimit) {
    Send(requests_[request.name] = std::move(request));
    return;
  }
  ++(is_promise ? counts_.refused : counts_.failed);
  if (is_planned_work_ && !is_promise) {
    AddProblem("planned work broke " + ended.attempt + ": status " +
               std::to_string(result.http_status) + " " +
               result.transport_error);
  }
}

void SoakLoad::CheckServed(const Request& request,
                           const std::string& attempt,
                           const CallResult& result) {
  const auto id = result.headers.find(names::kRequestId);
  if (id == result.headers.end() || id->second != attempt) {
    AddProblem("answer to another request: " + attempt);
    return;
  }
  if (request.kind == Kind::kStream) {
    if (result.body != WholeStream(attempt, request.events)) {
      AddProblem("wrong or incomplete stream: " + attempt + ": " + result.body);
    }
    return;
  }
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object() ||
      body.value("text", "") != PlatformBackendStandin::EventText(attempt, 1)) {
    AddProblem("wrong answer: " + attempt + ": " + result.body);
  }
}

void SoakLoad::StartJob() {
  Job job{.id = prefix_ + "-job-" + std::to_string(++last_name_)};
  for (int i = 0; i < kItemsOfJob; ++i) {
    job.items.push_back(job.id + "-item-" + std::to_string(i));
  }
  ++counts_.jobs;
  jobs_[job.id] = std::move(job);
}

void SoakLoad::SendJob(Job& job) {
  if (++job.attempts > kMaxJobAttempts) {
    job.is_done = true;  // never accepted
    return;
  }
  json items = json::array();
  for (size_t i = 0; i < job.items.size(); ++i) {
    const std::string body =
        json{{"kind", "stream"}, {"events", EventsOfItem(i)}}.dump();
    items.push_back({{"id", job.items[i]},
                     {"path", "/bulk/item"},
                     {"headers", json::object()},
                     {"body", platform::ToBase64(body)},
                     {"tokens", 100}});
  }
  job.is_busy = true;
  Start(job.id, job.id,
        {.method = "POST",
         .url = Frontend() + "/bulk/x",
         .headers = {std::string("Host: ") + soak_names::kHost,
                     "Content-Type: application/json",
                     std::string(names::kApiKey) + ": " + soak_names::kOpenKey,
                     std::string(names::kRequestId) + ": " + job.id},
         .body = json{{"items", items}}.dump(),
         .time_limit = kJobLimit});
}

void SoakLoad::ReadJob(Job& job) {
  job.is_busy = true;
  Start(job.id, job.id,
        {.url = Frontend() + "/lots/" + job.id + "?after=0",
         .headers = {std::string("Host: ") + soak_names::kHost,
                     std::string(names::kApiKey) + ": " + soak_names::kOpenKey},
         .time_limit = kJobLimit});
}

void SoakLoad::OnJob(const Ended& ended, TimePoint now) {
  Job& job = jobs_.at(ended.name);
  job.is_busy = false;
  job.next_at = now + kReadGap;
  const CallResult& result = ended.result;
  const int status = result.transport_error.empty() ? result.http_status : 0;
  if (job.is_accepted) {
    if (status == 200) {
      OnJobRead(job, result);
    } else if (status != 0 && status != 503) {
      AddProblem("status " + std::to_string(status) + " for an accepted job " +
                 job.id);
    }
    return;
  }
  if (status == 202) {
    job.is_accepted = true;
    ++open_jobs_;
  } else if (status != 0 && status < 500 && status != 409) {
    AddProblem("status " + std::to_string(status) + " for a new job " + job.id);
  }
}

void SoakLoad::OnJobRead(Job& job, const CallResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object() || body.value("total", 0) != kItemsOfJob) {
    AddProblem("wrong total: " + job.id + ": " + result.body);
    return;
  }
  size_t position = 0;
  for (const json& entry : body["results"]) {
    const std::string text = entry.dump();
    if (position < job.seen.size()) {
      if (job.seen[position] != text) {
        AddProblem("a result changed: " + job.id + " at " +
                   std::to_string(position));
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
        AddProblem("an item that is foreign or listed twice: " + id);
      } else if (entry.value("state", "") != "complete" ||
                 entry.value("text", "") != ItemText(id, EventsOfItem(index))) {
        AddProblem("wrong result: " + text);
      }
      ++counts_.items;
    }
    ++position;
  }
  // Fewer than before means that a node reads behind; it may not un-list.
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

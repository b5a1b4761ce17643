#include "standins/runner_standin.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

#include "platform/header_names.h"
#include "standins/expected_answer.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;
namespace names = platform;

constexpr const char* kModel = "runner";
constexpr int kDefaultEvents = 8;
constexpr std::chrono::milliseconds kDefaultHold{500};

}  // namespace

RunnerStandin::RunnerStandin(const Options& options,
                             const EventLog& log,
                             StandinServer& server)
    : options_(options), log_(log), server_(server) {}

std::string RunnerStandin::EventText(const std::string& id, int number) {
  return AnswerToken(AnswerSeed(kModel, id), number);
}

void RunnerStandin::Handle(const HttpCall& call) {
  const std::string& path = call.request.path;
  if (path == "/control") {
    HandleControl(call);
  } else if (path == "/report") {
    ReplyJson(*call.exchange, 200,
              {{"running", running_}, {"queued", 0}, {"held", holds_.size()}});
  } else if (path == "/hold-take") {
    HandleHold(call);
  } else {
    HandleRun(call);
  }
}

void RunnerStandin::HandleControl(const HttpCall& call) {
  const json control = json::parse(call.request.body, nullptr, false);
  if (!control.is_object()) {
    ReplyJson(*call.exchange, 400, {{"error", "not a JSON object"}});
    return;
  }
  break_streams_ = control.value("break_streams", break_streams_);
  fail_runs_ = control.value("fail_runs", fail_runs_);
  log_.Write("control", {{"fields", control}});
  ReplyJson(*call.exchange, 200, json::object());
}

int RunnerStandin::Taken() {
  const TimePoint now = BootClock::now();
  std::erase_if(holds_, [&](const auto& hold) { return hold.second <= now; });
  return running_ + static_cast<int>(holds_.size());
}

void RunnerStandin::HandleHold(const HttpCall& call) {
  const json body = json::parse(call.request.body, nullptr, false);
  if (Taken() >= options_.slots) {
    ReplyJson(*call.exchange, 503, {{"error", "no slot is free"}});
    return;
  }
  const std::chrono::milliseconds time(
      body.is_object() ? body.value("ttlMs", kDefaultHold.count())
                       : kDefaultHold.count());
  const std::string hold = "hold-" + std::to_string(++last_hold_);
  holds_[hold] = BootClock::now() + time;
  ReplyJson(*call.exchange, 200, {{"hold", hold}});
}

void RunnerStandin::Decline(const HttpCall& call,
                            int status,
                            const char* reason) {
  ReplyJson(*call.exchange, status, {{"error", reason}},
            {{names::kNotRun, "1"}});
}

HttpHeaders RunnerStandin::AnswerHeaders(const std::string& id) const {
  return {{names::kRequestId, id},
          {names::kResponseSignature, options_.id},
          {names::kBackendLoad,
           std::to_string(running_) + ",0," + std::to_string(options_.slots)}};
}

void RunnerStandin::HandleRun(const HttpCall& call) {
  const std::string id = HeaderOf(call.request, names::kRequestId);
  const std::string target = HeaderOf(call.request, names::kTargetBackend);
  const std::string hold = HeaderOf(call.request, names::kReservationId);
  if (id.empty()) {
    Decline(call, 400, "the request has no id");
    return;
  }
  if (!target.empty() && target != options_.id) {
    Decline(call, 421, "meant for another backend server");
    return;
  }
  if (Taken() >= options_.slots && !holds_.contains(hold)) {
    Decline(call, 503, "full");
    return;
  }
  holds_.erase(hold);
  const json body = json::parse(call.request.body, nullptr, false);
  const std::string kind =
      body.is_object() ? body.value("kind", "stream") : "stream";
  const int after =
      std::atoi(HeaderOf(call.request, names::kLastEventId).c_str());
  log_.Write("run_started",
             {{"id", id},
              {"kind", kind},
              {"workspace", HeaderOf(call.request, names::kWorkspace)},
              {"after", after},
              {"shows_key", call.request.headers.contains(names::kApiKey)}});
  ++running_;
  if (fail_runs_ > 0) {
    --fail_runs_;
    --running_;
    log_.Write("run_failed", {{"id", id}});
    ReplyJson(*call.exchange, 500, {{"error", "failed"}}, AnswerHeaders(id));
    return;
  }
  auto run = std::make_shared<Run>();
  run->exchange = call.exchange;
  run->id = id;
  run->sent = after;
  run->events =
      body.is_object() ? body.value("events", kDefaultEvents) : kDefaultEvents;
  if (kind == "stream") {
    HttpHeaders headers = AnswerHeaders(id);
    headers.emplace_back("Content-Type", "text/event-stream");
    run->exchange->StartStream(200, headers);
    server_.After(options_.step, [this, run] { Step(run); });
    return;
  }
  server_.After(options_.step * run->events, [this, run] {
    ReplyJson(*run->exchange, 200,
              {{"id", run->id}, {"text", EventText(run->id, 1)}},
              AnswerHeaders(run->id));
    Finish(*run, "run_finished");
  });
}

void RunnerStandin::Step(const std::shared_ptr<Run>& run) {
  if (run->exchange->IsDisconnected()) {
    Finish(*run, "run_cancelled");
    return;
  }
  if (run->sent >= run->events) {
    run->exchange->EndStream();
    Finish(*run, "run_finished");
    return;
  }
  const int number = ++run->sent;
  std::string event = "id: " + std::to_string(number) +
                      "\ndata: " + EventText(run->id, number) + "\n\n";
  if (break_streams_ > 0 && number * 2 >= run->events) {
    --break_streams_;
    event.resize(event.size() / 2);
    run->exchange->SendPart(event);
    run->exchange->Abort();
    Finish(*run, "run_broken");
    return;
  }
  run->exchange->SendPart(std::move(event));
  server_.After(options_.step, [this, run] { Step(run); });
}

void RunnerStandin::Finish(const Run& run, const char* event) {
  --running_;
  log_.Write(event, {{"id", run.id}, {"sent", run.sent}});
}

}  // namespace carawayrelay::tools

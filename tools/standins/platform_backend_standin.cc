#include "standins/platform_backend_standin.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

#include "platform/header_names.h"
#include "standins/expected_completion.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;
namespace names = platform;

// Model name from which the text of events is generated.
constexpr const char* kModel = "runner";
constexpr int kDefaultEvents = 8;
constexpr std::chrono::milliseconds kDefaultReservationTime{500};

}  // namespace

PlatformBackendStandin::PlatformBackendStandin(const Options& options,
                                               const EventLog& log,
                                               StandinServer& server)
    : options_(options), log_(log), server_(server) {}

std::string PlatformBackendStandin::EventText(const std::string& id,
                                              int number) {
  return CompletionToken(CompletionSeed(kModel, id), number);
}

void PlatformBackendStandin::Handle(const HttpCall& call) {
  const std::string& path = call.request.path;
  if (path == "/control") {
    HandleControl(call);
  } else if (path == "/report") {
    ReplyJson(
        *call.exchange, 200,
        {{"running", running_}, {"queued", 0}, {"held", reservations_.size()}});
  } else if (path == "/hold-take") {
    HandleReserve(call);
  } else {
    HandleRun(call);
  }
}

void PlatformBackendStandin::HandleControl(const HttpCall& call) {
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

int PlatformBackendStandin::UsedSlots() {
  const TimePoint now = BootClock::now();
  std::erase_if(reservations_, [&](const auto& reservation) {
    return reservation.second <= now;
  });
  return running_ + static_cast<int>(reservations_.size());
}

void PlatformBackendStandin::HandleReserve(const HttpCall& call) {
  const json body = json::parse(call.request.body, nullptr, false);
  if (UsedSlots() >= options_.slots) {
    ReplyJson(*call.exchange, 503, {{"error", "no slot is free"}});
    return;
  }
  const std::chrono::milliseconds time(
      body.is_object() ? body.value("ttlMs", kDefaultReservationTime.count())
                       : kDefaultReservationTime.count());
  const std::string reservation = "hold-" + std::to_string(++last_reservation_);
  reservations_[reservation] = BootClock::now() + time;
  ReplyJson(*call.exchange, 200, {{"hold", reservation}});
}

void PlatformBackendStandin::Reject(const HttpCall& call,
                                    int status,
                                    const char* reason) {
  ReplyJson(*call.exchange, status, {{"error", reason}},
            {{names::kNotRun, "1"}});
}

HttpHeaders PlatformBackendStandin::ResponseHeaders(
    const std::string& id) const {
  return {{names::kRequestId, id},
          {names::kResponseSignature, options_.id},
          {names::kBackendLoad,
           std::to_string(running_) + ",0," + std::to_string(options_.slots)}};
}

void PlatformBackendStandin::HandleRun(const HttpCall& call) {
  const std::string id = HeaderOf(call.request, names::kRequestId);
  const std::string target = HeaderOf(call.request, names::kTargetBackend);
  const std::string reservation = HeaderOf(call.request, names::kReservationId);
  if (id.empty()) {
    Reject(call, 400, "the request has no id");
    return;
  }
  if (!target.empty() && target != options_.id) {
    Reject(call, 421, "meant for another backend server");
    return;
  }
  if (UsedSlots() >= options_.slots && !reservations_.contains(reservation)) {
    Reject(call, 503, "full");
    return;
  }
  reservations_.erase(reservation);
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
    ReplyJson(*call.exchange, 500, {{"error", "failed"}}, ResponseHeaders(id));
    return;
  }
  auto run = std::make_shared<Run>();
  run->exchange = call.exchange;
  run->id = id;
  run->sent = after;
  run->events =
      body.is_object() ? body.value("events", kDefaultEvents) : kDefaultEvents;
  if (kind == "stream") {
    HttpHeaders headers = ResponseHeaders(id);
    headers.emplace_back("Content-Type", "text/event-stream");
    run->exchange->StartStream(200, headers);
    server_.After(options_.step, [this, run] { SendNextEvent(run); });
    return;
  }
  server_.After(options_.step * run->events, [this, run] {
    ReplyJson(*run->exchange, 200,
              {{"id", run->id}, {"text", EventText(run->id, 1)}},
              ResponseHeaders(run->id));
    FinishRun(*run, "run_finished");
  });
}

void PlatformBackendStandin::SendNextEvent(const std::shared_ptr<Run>& run) {
  if (run->exchange->IsDisconnected()) {
    FinishRun(*run, "run_cancelled");
    return;
  }
  if (run->sent >= run->events) {
    run->exchange->EndStream();
    FinishRun(*run, "run_finished");
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
    FinishRun(*run, "run_broken");
    return;
  }
  run->exchange->SendPart(event);
  server_.After(options_.step, [this, run] { SendNextEvent(run); });
}

void PlatformBackendStandin::FinishRun(const Run& run, const char* event) {
  --running_;
  log_.Write(event, {{"id", run.id}, {"sent", run.sent}});
}

}  // namespace carawayrelay::tools

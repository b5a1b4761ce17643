#include "process/forward/online_forwarder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform/runner_codec.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// When a client whose request found no room should come back.
constexpr milliseconds kRetryAfter{100};
// Carries the trace of a request from hop to hop (W3C Trace Context).
constexpr const char* kTraceHeader = "traceparent";
// Answers that are not streams are held until they are whole.
constexpr size_t kMaxHeldBytes = size_t{8} << 20;

constexpr int kServerError = 500;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

OnlineForwarder::OnlineForwarder(Options options,
                                 RunnerDirectory& runners,
                                 Allowances& allowances,
                                 OutboundCalls& calls,
                                 const EventLoopClock& clock,
                                 Answer answer)
    : options_(std::move(options)),
      runners_(runners),
      allowances_(allowances),
      calls_(calls),
      clock_(clock),
      answer_(std::move(answer)),
      random_(options_.seed) {}

void OnlineForwarder::Arrive(ClientCall call,
                             const ServingRoute& route,
                             const ServingWorkspace* workspace,
                             TimePoint now) {
  const ClientId client = call.client;
  Request& request = requests_[client];
  request.call = std::move(call);
  request.route = route.name;
  request.is_stream = route.call_class == CallClass::kStream;
  request.is_repeatable = route.IsRepeatable();
  request.max_attempts = route.max_attempts;
  request.last_event = request.call.resume_after;
  milliseconds limit = request.call.time_left.value_or(route.time_limit);
  if (route.time_limit.count() > 0) {
    limit = std::min(limit, route.time_limit);
  }
  request.deadline =
      request.call.arrived + (limit.count() > 0 ? limit : milliseconds(60000));
  if (workspace != nullptr) {
    request.workspace = workspace->name;
    switch (allowances_.Admit(*workspace, now)) {
      case Allowances::Verdict::kAdmitted:
        break;
      case Allowances::Verdict::kOverRate:
        Refuse(request,
               {.code = RefusalCode::kRateLimited,
                .reason = "the workspace is over its rate",
                .retry_after = allowances_.RetryAfter(*workspace, now)},
               now);
        return;
      case Allowances::Verdict::kNoShare:
        Refuse(request,
               {.code = RefusalCode::kNotReady,
                .reason = "this entry has no share of the workspace's rate",
                .retry_after = kRetryAfter},
               now);
        return;
    }
  }
  ContinueTrace(request);
  request.service = ChooseService(route);
  Send(request, now);
}

void OnlineForwarder::ContinueTrace(Request& request) {
  for (auto& [name, value] : request.call.headers) {
    if (name != kTraceHeader) {
      continue;
    }
    const std::optional<TraceContext> parent = ParseTraceparent(value);
    if (parent) {
      request.span = MakeChild(parent, random_);
      request.parent_span = parent->span_id;
      value = ToTraceparent(*request.span);
    }
    return;
  }
}

std::string OnlineForwarder::ChooseService(const ServingRoute& route) {
  double total = 0;
  for (const WeightedService& item : route.services) {
    total += item.weight;
  }
  double pick = std::uniform_real_distribution<double>(0, total)(random_);
  for (const WeightedService& item : route.services) {
    pick -= item.weight;
    if (pick <= 0 && item.weight > 0) {
      return item.service;
    }
  }
  return route.services.empty() ? std::string() : route.services[0].service;
}

void OnlineForwarder::Send(Request& request, TimePoint now) {
  RunnerDirectory::Runner* runner = runners_.Choose({.service = request.service,
                                                     .zone = options_.zone,
                                                     .excluded = request.tried},
                                                    now);
  if (runner == nullptr || request.offers >= options_.max_offers) {
    Refuse(request,
           {.code = RefusalCode::kNoBackend,
            .run_state =
                request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
            .reason = runner == nullptr ? "no backend server is usable"
                                        : "all backend servers asked are full",
            .retry_after = kRetryAfter},
           now);
    return;
  }
  const bool asks_hold =
      request.is_stream && request.call.tokens > 0 && now >= holds_from_ &&
      static_cast<int>(request.full.size()) < options_.max_holds;
  if (!asks_hold) {
    request.hold.clear();
    SendTo(request, *runner, now);
    return;
  }
  std::set<std::string> excluded = request.tried;
  excluded.insert(request.full.begin(), request.full.end());
  RunnerDirectory::Runner* candidate = runners_.Choose(
      {.service = request.service, .zone = options_.zone, .excluded = excluded},
      now);
  if (candidate == nullptr) {
    request.hold.clear();
    SendTo(request, *runner, now);
    return;
  }
  AskHold(request, *candidate, now);
}

void OnlineForwarder::SendTo(Request& request,
                             RunnerDirectory::Runner& chosen,
                             TimePoint now) {
  RunnerDirectory::Runner* runner = &chosen;
  counters_.unheld += request.hold.empty() ? 1 : 0;
  ++request.offers;
  request.tried.insert(runner->entry.id);
  request.runner = runner->entry.id;
  request.status = 0;
  request.is_signed = false;
  request.forwards = false;
  request.headers.clear();
  request.body.clear();
  request.cutter.Reset();
  request.heard_at = now;
  request.is_silent = false;
  request.is_sent = true;
  runners_.NoteSent(*runner, now);
  const auto left =
      std::chrono::duration_cast<milliseconds>(request.deadline - now);
  const ClientId client = request.call.client;
  request.out = calls_.Start(
      platform::EncodeRunnerCall({.call = request.call,
                                  .runner = runner->entry,
                                  .workspace = request.workspace,
                                  .time_left = std::max(left, milliseconds(1)),
                                  .resume_after = request.last_event,
                                  .hold = request.hold}),
      [this, client](CallEvent& event) { OnEvent(client, event); });
}

void OnlineForwarder::OnEvent(ClientId client, CallEvent& event) {
  const auto it = requests_.find(client);
  if (it == requests_.end()) {
    return;
  }
  const TimePoint now = clock_.now();
  it->second.heard_at = now;
  std::visit([&](auto& e) { On(it->second, e, now); }, event);
}

void OnlineForwarder::On(Request& request,
                         const CallHead& head,
                         TimePoint now) {
  platform::RunnerHead answer = platform::DecodeRunnerHead(head);
  RunnerDirectory::Runner* runner = runners_.Find(request.runner);
  if (runner != nullptr && answer.load) {
    runners_.NoteLoad(*runner, *answer.load, now);
  }
  if (answer.is_declined) {
    if (runner != nullptr && answer.is_other_runner) {
      runners_.NoteReplaced(*runner, "its address belongs to another start");
      --request.offers;
    } else if (runner != nullptr) {
      runners_.NoteFull(*runner, now);
    }
    Decline(request, "declined with " + std::to_string(answer.status), now);
    return;
  }
  if (!answer.request_id.empty() &&
      answer.request_id != request.call.request_id) {
    FailAttempt(request, true, "answer to another request", now);
    return;
  }
  if (IsSuccess(answer.status) && !answer.is_signed) {
    FailAttempt(request, true, "unsigned answer", now);
    return;
  }
  request.may_have_run = true;
  request.status = answer.status;
  request.is_signed = answer.is_signed;
  request.headers = std::move(answer.headers);
  request.forwards = request.is_stream && IsSuccess(answer.status);
  if (request.forwards && !std::exchange(request.head_sent, true)) {
    answer_(request.call.client,
            AnswerHead{.status = request.status, .headers = request.headers});
  }
}

void OnlineForwarder::On(Request& request, CallData& data, TimePoint now) {
  if (request.forwards) {
    ForwardEvents(request, data.bytes);
    return;
  }
  request.body += data.bytes;
  if (request.body.size() > kMaxHeldBytes) {
    FailAttempt(request, true, "answer over the limit", now);
  }
}

void OnlineForwarder::ForwardEvents(Request& request,
                                    const std::string& bytes) {
  std::string whole;
  for (CutEvent& event : request.cutter.Feed(bytes)) {
    // After a resumption an event may come again.
    if (event.id && *event.id <= request.last_event_number &&
        request.last_event_number > 0) {
      continue;
    }
    if (event.id) {
      request.last_event_number = *event.id;
      request.last_event = std::to_string(*event.id);
    }
    whole += event.bytes;
  }
  if (!whole.empty()) {
    if (!request.first_part) {
      request.first_part = clock_.now() - request.call.arrived;
    }
    answer_(request.call.client, AnswerPart{std::move(whole)});
  }
}

void OnlineForwarder::On(Request& request, const CallEnd& end, TimePoint now) {
  if (!end.is_whole || request.status == 0) {
    FailAttempt(request, end.was_sent, end.reason, now);
    return;
  }
  if (request.forwards) {
    if (request.cutter.HasPartialEvent()) {
      FailAttempt(request, true, "stream ended inside an event", now);
      return;
    }
    answer_(request.call.client, AnswerDone{});
    ++counters_.served;
    Finish(request, "served", now);
    return;
  }
  if (request.status >= kServerError &&
      (request.is_repeatable || !request.is_signed || request.head_sent)) {
    FailAttempt(request, true, "answered " + std::to_string(request.status),
                now);
    return;
  }
  if (request.status >= kServerError) {
    if (RunnerDirectory::Runner* runner = runners_.Find(request.runner)) {
      runners_.NoteFailure(*runner,
                           "answered " + std::to_string(request.status), now);
    }
  }
  answer_(request.call.client,
          WholeAnswer{.status = request.status,
                      .headers = std::move(request.headers),
                      .body = std::move(request.body)});
  ++counters_.served;
  Finish(request, "served", now);
}

void OnlineForwarder::Decline(Request& request,
                              const std::string& reason,
                              TimePoint now) {
  request.last_failure = reason;
  LogDecision(LogEvent::kAttemptDeclined, "id", request.call.request_id,
              "runner", request.runner, "reason", reason);
  DropAttempt(request);
  Send(request, now);
}

void OnlineForwarder::DropAttempt(Request& request) {
  if (std::exchange(request.is_holding, false)) {
    calls_.Cancel(request.out);
  }
  if (!std::exchange(request.is_sent, false)) {
    return;
  }
  calls_.Cancel(request.out);
  if (RunnerDirectory::Runner* runner = runners_.Find(request.runner)) {
    runner->running = std::max(0, runner->running - 1);
  }
}

void OnlineForwarder::FailAttempt(Request& request,
                                  bool was_sent,
                                  const std::string& reason,
                                  TimePoint now) {
  request.last_failure = reason;
  request.may_have_run |= was_sent;
  request.attempts += was_sent ? 1 : 0;
  if (RunnerDirectory::Runner* runner = runners_.Find(request.runner)) {
    runners_.NoteFailure(*runner, reason, now);
  }
  DropAttempt(request);
  const bool may_repeat =
      !request.may_have_run ||
      (request.is_repeatable && request.attempts < request.max_attempts);
  LogDecision(LogEvent::kAttemptFailed, "id", request.call.request_id, "runner",
              request.runner, "was_sent", was_sent, "attempt", request.attempts,
              "resends", may_repeat && now < request.deadline, "after_event",
              request.last_event, "reason", reason);
  if (may_repeat && now < request.deadline) {
    ++counters_.resent;
    Send(request, now);
    return;
  }
  Refuse(request,
         {.code = RefusalCode::kBackendFailed,
          .run_state =
              request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
          .reason = reason},
         now);
}

void OnlineForwarder::Refuse(Request& request, Refusal refusal, TimePoint now) {
  DropAttempt(request);
  if (refusal.code == RefusalCode::kBackendFailed &&
      refusal.run_state == RunState::kNotRun) {
    refusal.code = RefusalCode::kNoBackend;
    refusal.retry_after = kRetryAfter;
  }
  const std::string outcome = ToString(refusal.code);
  request.refused = refusal.code;
  if (request.head_sent) {
    ++counters_.broken;
    answer_(request.call.client, AnswerBroken{});
  } else {
    ++counters_.refused;
    answer_(request.call.client, std::move(refusal));
  }
  Finish(request, outcome.c_str(), now);
}

void OnlineForwarder::Finish(Request& request,
                             const char* outcome,
                             TimePoint now) {
  if (std::exchange(request.is_sent, false)) {
    if (RunnerDirectory::Runner* runner = runners_.Find(request.runner)) {
      runner->running = std::max(0, runner->running - 1);
      if (IsSuccess(request.status)) {
        runners_.NoteSuccess(*runner);
      }
    }
  }
  LogDecision(LogEvent::kRequestEnded, "id", request.call.request_id, "route",
              request.route, "workspace", request.workspace, "runner",
              request.runner, "outcome", outcome, "status", request.status,
              "attempts", request.attempts, "offers", request.offers,
              "last_event", request.last_event, "ms",
              ToMilliseconds(now - request.call.arrived), "reason",
              request.last_failure);
  if (options_.observe) {
    options_.observe({.workspace = request.workspace,
                      .route = request.route,
                      .refused = request.refused,
                      .attempts = request.attempts,
                      .total = now - request.call.arrived,
                      .first_part = request.first_part,
                      .span = request.span,
                      .parent_span = request.parent_span});
  }
  requests_.erase(request.call.client);
}

void OnlineForwarder::ClientGone(ClientId client) {
  const auto it = requests_.find(client);
  if (it == requests_.end()) {
    return;
  }
  DropAttempt(it->second);
  ++counters_.abandoned;
  Finish(it->second, "client_gone", clock_.now());
}

void OnlineForwarder::Tick(TimePoint now) {
  std::vector<ClientId> clients;
  for (const auto& [client, request] : requests_) {
    clients.push_back(client);
  }
  for (const ClientId client : clients) {
    const auto it = requests_.find(client);
    if (it == requests_.end()) {
      continue;
    }
    Request& request = it->second;
    if (now >= request.deadline) {
      Refuse(request,
             {.code = RefusalCode::kDeadline,
              .run_state = request.is_sent || request.may_have_run
                               ? RunState::kUnknown
                               : RunState::kNotRun,
              .reason = "the time limit passed"},
             now);
      continue;
    }
    if (!request.is_sent) {
      continue;
    }
    const Duration silence = now - request.heard_at;
    if (silence >= options_.silence_limit &&
        !std::exchange(request.is_silent, true)) {
      if (RunnerDirectory::Runner* runner = runners_.Find(request.runner)) {
        runners_.NoteFailure(*runner, "silent", now);
      }
    }
    if (silence >= options_.resume_after_silence && request.is_repeatable &&
        request.attempts + 1 < request.max_attempts) {
      FailAttempt(request, true, "silent", now);
    }
  }
}

}  // namespace carawayrelay

#include "process/forward/online_forwarder.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform/backend_codec.h"
#include "process/limits/rate_wait_limit.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// When a client should retry if no backend server had capacity.
constexpr milliseconds kRetryAfter{100};
// How long a request waits for the right to try its prompt again.
constexpr milliseconds kMaxTrialWait{300};
// Header with the trace context of a request (W3C Trace Context).
constexpr const char* kTraceHeader = "traceparent";
// Responses that are not streams are buffered until they are complete. Larger
// ones fail the attempt.
constexpr size_t kMaxBufferedBytes = size_t{8} << 20;
// The same for all requests together, since each of them may get a response
// without end at the same time.
constexpr size_t kMaxTotalBufferedBytes = size_t{16} << 20;

constexpr int kServerError = 500;
// Of requests for which neither the client nor the route has a time limit.
constexpr milliseconds kDefaultTimeLimit{60000};

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

OnlineForwarder::OnlineForwarder(Options options,
                                 BackendDirectory& backends,
                                 RateAdmission& rates,
                                 PromptQuarantine& quarantine,
                                 PromptTrials& trials,
                                 OutboundCalls& calls,
                                 const EventLoopClock& clock,
                                 ResponseCallback send_response)
    : options_(std::move(options)),
      backends_(backends),
      rates_(rates),
      quarantine_(quarantine),
      trials_(trials),
      calls_(calls),
      clock_(clock),
      send_response_(std::move(send_response)),
      random_(options_.seed) {}

TimePoint OnlineForwarder::DeadlineOf(const ClientCall& call,
                                      const ServingRoute& route) {
  milliseconds limit = call.time_left.value_or(route.time_limit);
  if (route.time_limit.count() > 0) {
    limit = std::min(limit, route.time_limit);
  }
  return call.arrived + (limit.count() > 0 ? limit : kDefaultTimeLimit);
}

void OnlineForwarder::HandleRequest(ClientCall call,
                                    const ServingRoute& route,
                                    const ServingWorkspace* workspace,
                                    TimePoint now) {
  const ClientCallId client = call.client;
  Request& request = requests_[client];
  request.call = std::move(call);
  request.route = route.name;
  request.is_stream = route.call_class == CallClass::kStream;
  request.is_repeatable = route.IsRepeatable();
  request.max_attempts = route.max_attempts;
  request.last_event = request.call.resume_after;
  request.deadline = DeadlineOf(request.call, route);
  request.service = ChooseService(route);
  ContinueTrace(request);
  if (workspace == nullptr) {
    ProbeAndSend(request, now);
    return;
  }
  request.workspace = workspace->name;
  const RateWaitLimits limits = RateWaitLimitsOf(
      {.arrived = request.call.arrived,
       .deadline = request.deadline,
       .latency_target = route.latency_target,
       .is_returning =
           request.call.time_left && returning_clients_.NoteRequest(
                                         route.name, *request.call.time_left)});
  rates_.Admit(*workspace, now, limits,
               [this, client](const RateVerdict& verdict) {
                 OnRateVerdict(client, verdict);
               });
}

void OnlineForwarder::OnRateVerdict(ClientCallId client,
                                    const RateVerdict& verdict) {
  const auto it = requests_.find(client);
  if (it == requests_.end()) {
    return;  // the client disconnected
  }
  Request& request = it->second;
  const TimePoint now = clock_.now();
  request.rate_wait = now - request.call.arrived;
  std::visit(Overloaded{
                 [&](const RateAdmitted&) { ProbeAndSend(request, now); },
                 [&](const RateExceeded& exceeded) {
                   Refuse(request,
                          {.code = RefusalCode::kRateLimited,
                           .reason = "the workspace is over its rate",
                           .retry_after = exceeded.retry_after},
                          now);
                 },
                 [&](const RateUnavailable& unavailable) {
                   Refuse(
                       request,
                       {.code = RefusalCode::kNotReady,
                        .reason = "the rate of the workspace cannot be checked",
                        .retry_after = unavailable.retry_after},
                       now);
                 },
             },
             verdict);
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

void OnlineForwarder::ChooseAndSend(Request& request, TimePoint now) {
  if (!IsAdmitted(request, now)) {
    return;
  }
  BackendDirectory::Backend* backend =
      backends_.Choose({.service = request.service,
                        .zone = options_.zone,
                        .excluded = request.tried_backends,
                        .is_repeatable = request.is_repeatable},
                       now);
  if (backend == nullptr || request.sends >= options_.max_sends) {
    Refuse(request,
           {.code = RefusalCode::kNoBackend,
            .run_state =
                request.may_have_run ? RunState::kUnknown : RunState::kNotRun,
            .reason = backend == nullptr ? "no backend server is usable"
                                         : "all backend servers asked are full",
            .retry_after = kRetryAfter},
           now);
    return;
  }
  // The version share counts requests only.
  const bool is_canary =
      backends_.VersionUseOf(*backend) == VersionUse::kPreferred;
  const bool should_reserve = request.is_stream && request.call.tokens > 0 &&
                              !is_canary && now >= reservations_paused_until_ &&
                              static_cast<int>(request.full_backends.size()) <
                                  options_.max_reservation_attempts;
  if (!should_reserve) {
    request.reservation_id.clear();
    SendTo(request, *backend, now);
    return;
  }
  std::set<std::string> excluded = request.tried_backends;
  excluded.insert(request.full_backends.begin(), request.full_backends.end());
  BackendDirectory::Backend* candidate =
      backends_.Choose({.service = request.service,
                        .zone = options_.zone,
                        .excluded = excluded,
                        .is_repeatable = request.is_repeatable},
                       now);
  if (candidate == nullptr) {
    request.reservation_id.clear();
    SendTo(request, *backend, now);
    return;
  }
  RequestReservation(request, *candidate, now);
}

void OnlineForwarder::OnEvent(ClientCallId client, CallEvent& event) {
  const auto it = requests_.find(client);
  if (it == requests_.end()) {
    return;
  }
  const TimePoint now = clock_.now();
  std::visit([&](auto& e) { HandleEvent(it->second, e, now); }, event);
}

void OnlineForwarder::HandleEvent(Request& request,
                                  const CallHead& head,
                                  TimePoint now) {
  platform::BackendResponseHead response =
      platform::DecodeBackendResponseHead(head);
  BackendDirectory::Backend* backend = backends_.Find(request.backend_id);
  if (backend != nullptr && response.load) {
    backends_.NoteLoad(*backend, *response.load, now);
  }
  if (response.is_leaving && !response.is_misdirected) {
    backends_.NoteLeaving(request.backend_id, now);
  }
  if (!response.is_misdirected) {
    quarantine_.NoteAlive(request.backend_id, request.attempt_started_at, now);
  }
  if (response.is_declined) {
    if (backend != nullptr && response.is_misdirected) {
      backends_.NoteReplaced(*backend, "its address belongs to another start");
      --request.sends;
    } else if (backend != nullptr) {
      backends_.NoteFull(*backend, now);
    }
    HandleDecline(request, "declined with " + std::to_string(response.status),
                  now);
    return;
  }
  if (!response.request_id.empty() &&
      response.request_id != request.call.request_id) {
    FailAttempt(request, true, "answer to another request", now);
    return;
  }
  if (IsSuccess(response.status) && !response.is_signed) {
    FailAttempt(request, true, "unsigned answer", now);
    return;
  }
  request.may_have_run = true;
  request.last_progress_at = now;
  request.status = response.status;
  request.is_signed = response.is_signed;
  request.ends_with_connection = response.ends_with_connection;
  request.headers = std::move(response.headers);
  request.is_forwarding = request.is_stream && IsSuccess(response.status);
  if (request.is_forwarding && !std::exchange(request.head_sent, true)) {
    send_response_(
        request.call.client,
        ResponseHead{.status = request.status, .headers = request.headers});
  }
}

void OnlineForwarder::HandleEvent(Request& request,
                                  CallData& data,
                                  TimePoint now) {
  if (request.is_forwarding) {
    ForwardEvents(request, data.bytes, now);
    if (request.event_splitter.IsEventTooLong()) {
      FailAttempt(request, true, "an event is over the limit", now);
    }
    return;
  }
  request.has_attempt_event = true;
  request.last_progress_at = now;
  request.body += data.bytes;
  buffered_bytes_ += data.bytes.size();
  if (request.body.size() > kMaxBufferedBytes ||
      buffered_bytes_ > kMaxTotalBufferedBytes) {
    FailAttempt(request, true, "answer over the limit", now);
  }
}

void OnlineForwarder::ClearBody(Request& request) {
  buffered_bytes_ -= request.body.size();
  request.body.clear();
  request.body.shrink_to_fit();
}

void OnlineForwarder::ForwardEvents(Request& request,
                                    const std::string& bytes,
                                    TimePoint now) {
  std::string complete_events;
  for (RawSseEvent& event : request.event_splitter.Feed(bytes)) {
    if (event.has_data) {
      NoteAttemptEvent(request, now);
    }
    // A resumed stream may repeat events that the client already has.
    if (event.id && *event.id <= request.last_event_number &&
        request.last_event_number > 0) {
      continue;
    }
    if (event.id) {
      request.last_event_number = *event.id;
      request.last_event = std::to_string(*event.id);
    }
    complete_events += event.bytes;
  }
  if (!complete_events.empty()) {
    if (!request.first_part) {
      request.first_part = now - request.call.arrived;
    }
    send_response_(request.call.client,
                   ResponseBodyPart{std::move(complete_events)});
  }
}

void OnlineForwarder::HandleEvent(Request& request,
                                  const CallEnd& end,
                                  TimePoint now) {
  if (const auto reason = BreakReason(request, end)) {
    NoteBrokenAnswer(request, end, now);
    FailAttempt(request, end.was_sent, *reason, now);
    return;
  }
  NoteWholeAnswer(request, now);
  if (request.is_forwarding) {
    send_response_(request.call.client, ResponseEnd{});
    ++counters_.served;
    Finish(request, "served", now);
    return;
  }
  const bool is_server_error = request.status >= kServerError;
  // Once a stream has begun, no other answer can take the place of its rest.
  if (request.head_sent ||
      (is_server_error && (request.is_repeatable || !request.is_signed))) {
    FailAttempt(request, true, "answered " + std::to_string(request.status),
                now);
    return;
  }
  if (is_server_error) {
    if (BackendDirectory::Backend* backend =
            backends_.Find(request.backend_id)) {
      backends_.NoteFailure(*backend,
                            "answered " + std::to_string(request.status), now);
    }
  }
  std::string body = std::move(request.body);
  buffered_bytes_ -= body.size();
  request.body.clear();
  send_response_(request.call.client,
                 CompleteResponse{.status = request.status,
                                  .headers = std::move(request.headers),
                                  .body = std::move(body)});
  ++counters_.served;
  Finish(request, "served", now);
}

void OnlineForwarder::Refuse(Request& request, Refusal refusal, TimePoint now) {
  ReportAttempt(request,
                now >= request.deadline ? AttemptResult::kTimedOut
                                        : AttemptResult::kCancelled,
                now);
  CancelAttempt(request);
  if (refusal.code == RefusalCode::kBackendFailed &&
      refusal.run_state == RunState::kNotRun) {
    refusal.code = RefusalCode::kNoBackend;
    refusal.retry_after = kRetryAfter;
  }
  const std::string outcome = ToString(refusal.code);
  request.refused = refusal.code;
  if (request.head_sent) {
    ++counters_.broken;
    send_response_(request.call.client, ResponseAborted{});
  } else {
    ++counters_.refused;
    send_response_(request.call.client, std::move(refusal));
  }
  Finish(request, outcome.c_str(), now);
}

void OnlineForwarder::Finish(Request& request,
                             const char* outcome,
                             TimePoint now) {
  ReportAttempt(request,
                request.status >= kServerError ? AttemptResult::kFailed
                                               : AttemptResult::kAnswered,
                now);
  if (std::exchange(request.is_attempt_running, false)) {
    if (BackendDirectory::Backend* backend =
            backends_.Find(request.backend_id)) {
      backend->own_calls = std::max(0, backend->own_calls - 1);
      if (IsSuccess(request.status)) {
        backends_.NoteSuccess(*backend);
      }
    }
  }
  LogDecision(LogEvent::kRequestEnded, "id", request.call.request_id, "route",
              request.route, "workspace", request.workspace, "runner",
              request.backend_id, "outcome", outcome, "status", request.status,
              "attempts", request.attempts, "offers", request.sends,
              "last_event", request.last_event, "ms",
              ToMilliseconds(now - request.call.arrived), "rate_wait_ms",
              ToMilliseconds(request.rate_wait), "reason",
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
  if (request.trial && !request.is_trial_sent) {
    trials_.Return(*request.trial);
  }
  ClearBody(request);
  requests_.erase(request.call.client);
}

void OnlineForwarder::OnClientDisconnected(ClientCallId client) {
  const auto it = requests_.find(client);
  if (it == requests_.end()) {
    return;
  }
  ReportAttempt(it->second, AttemptResult::kCancelled, clock_.now());
  CancelAttempt(it->second);
  ++counters_.abandoned;
  Finish(it->second, "client_gone", clock_.now());
}

void OnlineForwarder::Stop(TimePoint now) {
  while (!requests_.empty()) {
    Request& request = requests_.begin()->second;
    const bool may_have_run =
        request.is_attempt_running || request.may_have_run;
    Refuse(
        request,
        {.code = may_have_run ? RefusalCode::kDeadline : RefusalCode::kLeaving,
         .run_state = may_have_run ? RunState::kUnknown : RunState::kNotRun,
         .reason = "this entry stops",
         .retry_after = milliseconds(0)},
        now);
  }
}

void OnlineForwarder::Tick(TimePoint now) {
  std::vector<ClientCallId> clients;
  for (const auto& [client, request] : requests_) {
    clients.push_back(client);
  }
  for (const ClientCallId client : clients) {
    const auto it = requests_.find(client);
    if (it == requests_.end()) {
      continue;
    }
    Request& request = it->second;
    if (now >= request.deadline) {
      Refuse(request,
             {.code = RefusalCode::kDeadline,
              .run_state = request.is_attempt_running || request.may_have_run
                               ? RunState::kUnknown
                               : RunState::kNotRun,
              .reason = "the time limit passed"},
             now);
      continue;
    }
    if (request.asking_since && now - *request.asking_since >= kMaxTrialWait) {
      RefuseQuarantined(request, {.part = JoinIds(request.call.prompt_parts)},
                        now);
      continue;
    }
    if (!request.is_attempt_running) {
      continue;
    }
    const Duration silence = now - request.last_progress_at;
    if (silence >= options_.silence_limit &&
        !std::exchange(request.is_silence_recorded, true)) {
      if (BackendDirectory::Backend* backend =
              backends_.Find(request.backend_id)) {
        backends_.NoteFailure(*backend, "silent", now);
      }
      if (options_.observe_silence) {
        options_.observe_silence(request.backend_id, now);
      }
    }
    if (silence >= options_.resume_after_silence && request.is_repeatable &&
        request.attempts + 1 < request.max_attempts) {
      FailAttempt(request, true, "silent", now);
    }
  }
}

}  // namespace carawayrelay

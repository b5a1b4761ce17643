// The part of Dispatcher that submits requests to agents and tracks their
// attempts.

#include <algorithm>
#include <cassert>
#include <utility>

#include "process/dispatch/dispatcher.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// An agent without free slots reports this in its next Status message, at most
// 100 ms later.
constexpr milliseconds kWindowFullBackoff{100};
// Limits the rate of requests to an agent whose backend server is failing.
constexpr milliseconds kFailureBackoff{250};
// Tokens charged for each part of a response. The total is corrected when the
// response ends.
constexpr double kTokensPerPart = 1;
// Time after which a refused client should retry.
constexpr milliseconds kClientRetryDelay{1000};

bool IsSuccess(int http_status) {
  return http_status >= 200 && http_status < 300;
}

}  // namespace

FairQueue& Dispatcher::QueueOf(const std::string& route) {
  return queues_.try_emplace(route, options_.fairness, options_.queue_capacity)
      .first->second;
}

QueuedRequest Dispatcher::ToQueued(const ActiveRequest& request) {
  return {.id = request.call.id,
          .workspace = request.access.workspace,
          .weight = request.access.weight,
          .cost = request.call.cost};
}

void Dispatcher::Enqueue(ActiveRequest& request) {
  request.phase = RequestPhase::kQueued;
  const std::string route = request.call.route;
  const std::optional<RequestId> dropped =
      QueueOf(route).Push(ToQueued(request));
  if (dropped) {
    FinishWithRefusal(
        *requests_.Find(*dropped),
        {.code = RefusalCode::kOverloaded,
         .reason = "too many requests wait for route '" + route + "'",
         .retry_after = kClientRetryDelay});
  }
  DispatchQueued(route);
}

void Dispatcher::Requeue(ActiveRequest& request) {
  request.phase = RequestPhase::kQueued;
  QueueOf(request.call.route).Requeue(ToQueued(request));
}

void Dispatcher::DispatchQueued(const std::string& route) {
  const auto it = queues_.find(route);
  if (it == queues_.end()) {
    return;
  }
  FairQueue& queue = it->second;
  while (!queue.empty() && backends_.HasAvailable(route, *config_, now_)) {
    ActiveRequest& request = *requests_.Find(queue.Pop()->id);
    BackendView* view = backends_.Choose(route, *config_, request.tried_agents,
                                         request.call.prefix_hash, now_, rng_);
    assert(view != nullptr);
    Submit(request, *view);
  }
}

void Dispatcher::DispatchRoutesOf(const BackendView& view) {
  const std::vector<std::string>& routes = view.routes();
  ++route_rotation_;
  for (size_t i = 0; i < routes.size(); ++i) {
    DispatchQueued(routes[(route_rotation_ + i) % routes.size()]);
  }
}

void Dispatcher::DispatchAllRoutes() {
  if (!config_) {
    return;
  }
  for (const auto& [route, queue] : queues_) {
    DispatchQueued(route);
  }
}

void Dispatcher::Submit(ActiveRequest& request, BackendView& view) {
  SendConfigIfNewer(view);
  const AttemptId attempt{next_attempt_++};
  requests_.StartAttempt(request, attempt, view.connection());
  request.submitted_version = config_->version();
  view.OnSubmit();
  ++counters_.attempts;
  Emit(SendMessage{
      .connection = view.connection(),
      .message = carawayrelay::Submit{
          .attempt = attempt,
          .workspace = request.access.workspace,
          .route = request.call.route,
          .method = request.call.method,
          .path = request.call.path,
          .body = request.call.body,
          .stream = request.call.stream,
          .repeatable = request.access.repeatable,
          .config_version = config_->version(),
          .traceparent = ToTraceparent(MakeChild(request.span, rng_)),
          .idempotency_key = request.call.idempotency_key}});
}

void Dispatcher::OnPart(ConnectionId from, Part& part) {
  ActiveRequest* request = requests_.FindAttempt(part.attempt, from);
  if (request == nullptr) {
    ++counters_.dropped_frames;
    return;
  }
  if (std::optional<std::string> error = request->assembler.Accept(part)) {
    FailAttempt(*request,
                {.code = RefusalCode::kBackendFailed,
                 .run_state = RunState::kRan,
                 .reason = *std::move(error)},
                /*send_cancel=*/true);
    return;
  }
  if (!request->first_part_at) {
    request->first_part_at = now_;
  }
  QueueOf(request->call.route)
      .Charge(request->access.workspace, request->access.weight,
              kTokensPerPart);
  if (!request->call.stream || request->has_intent) {
    if (request->response_body.size() + part.data.size() >
        options_.max_response_bytes) {
      FailAttempt(*request,
                  {.code = RefusalCode::kTooLarge,
                   .run_state = RunState::kRan,
                   .reason = "the answer is too large"},
                  /*send_cancel=*/true);
      return;
    }
    request->response_body += part.data;
  }
  if (request->call.stream) {
    request->has_output = true;
    Emit(
        ForwardPart{.request = request->call.id, .data = std::move(part.data)});
  }
}

void Dispatcher::OnEnd(ConnectionId from, const End& end) {
  ActiveRequest* request = requests_.FindAttempt(end.attempt, from);
  if (request == nullptr) {
    ++counters_.dropped_frames;
    return;
  }
  std::optional<std::string> error = request->assembler.Finish(end);
  if (!error && request->has_output && !IsSuccess(end.http_status)) {
    error = "the stream ended with status " + std::to_string(end.http_status);
  }
  if (error) {
    FailAttempt(*request,
                {.code = RefusalCode::kBackendFailed,
                 .run_state = RunState::kRan,
                 .reason = *std::move(error)},
                /*send_cancel=*/false);
    return;
  }
  const double charged =
      kTokensPerPart * static_cast<double>(request->assembler.parts());
  QueueOf(request->call.route)
      .Charge(request->access.workspace, request->access.weight,
              std::max(0.0, static_cast<double>(end.tokens) - charged));
  const BackendView* view = CloseAttempt(*request, /*send_cancel=*/false);
  FinishWithResponse(*request, end);
  if (view != nullptr) {
    DispatchRoutesOf(*view);
  }
}

void Dispatcher::OnRefused(ConnectionId from, Refused& refused) {
  ActiveRequest* request = requests_.FindAttempt(refused.attempt, from);
  if (request == nullptr) {
    ++counters_.dropped_frames;
    return;
  }
  Refusal& refusal = refused.refusal;
  // A received part of the response shows that the request ran, whatever run
  // state the refusal reports.
  if (request->assembler.parts() > 0) {
    refusal.run_state = RunState::kRan;
  }
  AvoidAgent(from, refusal);
  FailAttempt(*request, std::move(refusal), /*send_cancel=*/false);
}

void Dispatcher::OnStatus(ConnectionId from, const Status& status) {
  BackendView* view = backends_.Find(from);
  if (view == nullptr) {
    return;
  }
  view->OnStatus(status);
  SendConfigIfNewer(*view);
  if (config_) {
    DispatchRoutesOf(*view);
  }
}

void Dispatcher::AvoidAgent(ConnectionId backend, const Refusal& refusal) {
  BackendView* view = backends_.Find(backend);
  if (view == nullptr) {
    return;
  }
  milliseconds time{0};
  switch (refusal.code) {
    case RefusalCode::kLeaving:
      view->SetLeaving();
      return;
    case RefusalCode::kWindowFull:
      time = kWindowFullBackoff;
      break;
    case RefusalCode::kOverloaded:
    case RefusalCode::kNoBackend:
    case RefusalCode::kZoneOut:
    case RefusalCode::kNotReady:
    case RefusalCode::kBackendFailed:
    case RefusalCode::kInternal:
      time = kFailureBackoff;
      break;
    default:
      return;
  }
  const TimePoint until = now_ + refusal.retry_after.value_or(time);
  view->AvoidUntil(until);
  next_dispatch_ = next_dispatch_ ? std::min(*next_dispatch_, until) : until;
}

BackendView* Dispatcher::CloseAttempt(ActiveRequest& request,
                                      bool send_cancel) {
  assert(request.phase == RequestPhase::kRunning);
  BackendView* view = backends_.Find(request.backend);
  if (view != nullptr) {
    view->OnAttemptDone();
    if (send_cancel) {
      Emit(SendMessage{.connection = request.backend,
                       .message = Cancel{.attempt = request.attempt}});
    }
  }
  requests_.EndAttempt(request);
  request.phase = RequestPhase::kBetweenAttempts;
  return view;
}

void Dispatcher::FailAttempt(ActiveRequest& request,
                             Refusal refusal,
                             bool send_cancel) {
  const BackendView* view = CloseAttempt(request, send_cancel);
  const std::string route = request.call.route;
  const AttemptFailure failure{.code = refusal.code,
                               .run_state = refusal.run_state};
  request.run_state = Combine(request.run_state, refusal.run_state);
  if (!CountsAsAttempt(failure)) {
    --request.attempts;
  }
  const RetryDecision decision =
      options_.retry.Decide({.repeatable = request.access.repeatable,
                             .has_output = request.has_output,
                             .attempts = request.attempts},
                            failure);
  switch (decision) {
    case RetryDecision::kGiveUp:
      FinishWithRefusal(request, std::move(refusal));
      break;
    case RetryDecision::kRetryAfterConfig:
      if (config_->version() <= request.submitted_version) {
        request.phase = RequestPhase::kAwaitingConfig;
        break;
      }
      [[fallthrough]];
    case RetryDecision::kRetry:
      ++counters_.retries;
      // The configuration may have changed since the request was last checked.
      if (ReauthorizeOrAbort(request)) {
        Requeue(request);
      }
      break;
  }
  DispatchQueued(route);
  if (view != nullptr) {
    DispatchRoutesOf(*view);
  }
}

void Dispatcher::AbortRequest(ActiveRequest& request, Refusal refusal) {
  switch (request.phase) {
    case RequestPhase::kRunning: {
      const bool has_run = request.assembler.parts() > 0;
      request.run_state = Combine(
          request.run_state, has_run ? RunState::kRan : RunState::kUnknown);
      CloseAttempt(request, /*send_cancel=*/true);
      break;
    }
    case RequestPhase::kQueued:
      QueueOf(request.call.route)
          .Remove(request.call.id, request.access.workspace);
      break;
    case RequestPhase::kAwaitingTokens:
      if (auto* shared = std::get_if<SharedLimits>(&limits_)) {
        shared->CancelWait(request.call.id);
      }
      break;
    case RequestPhase::kAwaitingIntent:
    case RequestPhase::kAwaitingConfig:
    case RequestPhase::kBetweenAttempts:
      break;
  }
  FinishWithRefusal(request, std::move(refusal));
}

void Dispatcher::FinishWithRefusal(ActiveRequest& request, Refusal refusal) {
  refusal.run_state = request.run_state;
  const RefusalCode code = refusal.code;
  if (request.has_intent && request.run_state == RunState::kNotRun) {
    Emit(ReleaseIntent{.workspace = request.access.workspace,
                       .key = request.call.idempotency_key});
  }
  if (request.is_client_disconnected) {
    Erase(request, std::nullopt);
    return;
  }
  if (request.has_output) {
    Emit(
        AbortStream{.request = request.call.id, .refusal = std::move(refusal)});
  } else {
    Emit(Refuse{.request = request.call.id, .refusal = std::move(refusal)});
  }
  Erase(request, code);
}

void Dispatcher::FinishWithResponse(ActiveRequest& request, const End& end) {
  if (request.has_intent) {
    Emit(CompleteIntent{.workspace = request.access.workspace,
                        .key = request.call.idempotency_key,
                        .response = {.http_status = end.http_status,
                                     .content_type = end.content_type,
                                     .body = request.response_body}});
  }
  if (!request.is_client_disconnected) {
    if (request.call.stream && IsSuccess(end.http_status)) {
      Emit(FinishStream{request.call.id});
    } else {
      Emit(SendResponse{.request = request.call.id,
                        .http_status = end.http_status,
                        .content_type = end.content_type,
                        .body = std::move(request.response_body)});
    }
  }
  Erase(request, std::nullopt);
}

void Dispatcher::Erase(ActiveRequest& request,
                       std::optional<RefusalCode> refused) {
  RequestObserved observed{
      .workspace = request.access.workspace,
      .route = request.call.route,
      .refused = refused,
      .attempts = request.attempts,
      .total = now_ - request.call.arrived,
      .span = request.span,
      .parent_span = request.call.trace ? request.call.trace->span_id : 0};
  if (request.first_part_at) {
    observed.first_part = *request.first_part_at - request.call.arrived;
  }
  Emit(std::move(observed));
  total_body_bytes_ -= request.call.body.size();
  requests_.Erase(request.call.id);
}

}  // namespace carawayrelay

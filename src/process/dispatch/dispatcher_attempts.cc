// The part of Dispatcher that hands requests over to agents and follows their
// attempts.

#include <algorithm>
#include <cassert>
#include <utility>

#include "process/dispatch/dispatcher.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// An agent without room reports it with its next Status, at most 100 ms later.
constexpr milliseconds kAvoidFull{100};
// An agent whose backend server fails gets few requests until it works again.
constexpr milliseconds kAvoidFailed{250};
// Work counted for each part of an answer; the count is corrected at its end.
constexpr double kTokensPerPart = 1;
constexpr milliseconds kRetrySoon{1000};

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
    FinishRefused(*requests_.Find(*dropped),
                  {.code = RefusalCode::kOverloaded,
                   .reason = "too many requests wait for route '" + route + "'",
                   .retry_after = kRetrySoon});
  }
  Pump(route);
}

void Dispatcher::Requeue(ActiveRequest& request) {
  request.phase = RequestPhase::kQueued;
  QueueOf(request.call.route).Requeue(ToQueued(request));
}

void Dispatcher::Pump(const std::string& route) {
  const auto it = queues_.find(route);
  if (it == queues_.end()) {
    return;
  }
  FairQueue& queue = it->second;
  while (!queue.empty() && backends_.HasFree(route, *config_, now_)) {
    ActiveRequest& request = *requests_.Find(queue.Pop()->id);
    BackendView* view = backends_.Choose(route, *config_, request.tried,
                                         request.call.prefix_hash, now_, rng_);
    assert(view != nullptr);
    Submit(request, *view);
  }
}

void Dispatcher::PumpRoutesOf(const BackendView& view) {
  const std::vector<std::string>& routes = view.routes();
  ++first_route_;
  for (size_t i = 0; i < routes.size(); ++i) {
    Pump(routes[(first_route_ + i) % routes.size()]);
  }
}

void Dispatcher::PumpAll() {
  if (!config_) {
    return;
  }
  for (const auto& [route, queue] : queues_) {
    Pump(route);
  }
}

void Dispatcher::Submit(ActiveRequest& request, BackendView& view) {
  PushConfig(view);
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
  if (std::optional<std::string> wrong = request->assembler.Accept(part)) {
    FailAttempt(*request,
                {.code = RefusalCode::kBackendFailed,
                 .run_state = RunState::kRan,
                 .reason = *std::move(wrong)},
                /*send_cancel=*/true);
    return;
  }
  if (!request->first_part) {
    request->first_part = now_;
  }
  QueueOf(request->call.route)
      .Charge(request->access.workspace, request->access.weight,
              kTokensPerPart);
  if (!request->call.stream || request->has_intent) {
    if (request->body.size() + part.data.size() > options_.max_answer_bytes) {
      FailAttempt(*request,
                  {.code = RefusalCode::kTooLarge,
                   .run_state = RunState::kRan,
                   .reason = "the answer is too large"},
                  /*send_cancel=*/true);
      return;
    }
    request->body += part.data;
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
  std::optional<std::string> wrong = request->assembler.Finish(end);
  if (!wrong && request->has_output && !IsSuccess(end.http_status)) {
    wrong = "the stream ended with status " + std::to_string(end.http_status);
  }
  if (wrong) {
    FailAttempt(*request,
                {.code = RefusalCode::kBackendFailed,
                 .run_state = RunState::kRan,
                 .reason = *std::move(wrong)},
                /*send_cancel=*/false);
    return;
  }
  const double charged =
      kTokensPerPart * static_cast<double>(request->assembler.parts());
  QueueOf(request->call.route)
      .Charge(request->access.workspace, request->access.weight,
              std::max(0.0, static_cast<double>(end.tokens) - charged));
  const BackendView* view = CloseAttempt(*request, /*send_cancel=*/false);
  FinishAnswered(*request, end);
  if (view != nullptr) {
    PumpRoutesOf(*view);
  }
}

void Dispatcher::OnRefused(ConnectionId from, Refused& refused) {
  ActiveRequest* request = requests_.FindAttempt(refused.attempt, from);
  if (request == nullptr) {
    ++counters_.dropped_frames;
    return;
  }
  Refusal& refusal = refused.refusal;
  // Parts of the answer prove that it ran, whatever the refusal says.
  if (request->assembler.parts() > 0) {
    refusal.run_state = RunState::kRan;
  }
  Avoid(from, refusal);
  FailAttempt(*request, std::move(refusal), /*send_cancel=*/false);
}

void Dispatcher::OnStatus(ConnectionId from, const Status& status) {
  BackendView* view = backends_.Find(from);
  if (view == nullptr) {
    return;
  }
  view->OnStatus(status);
  PushConfig(*view);
  if (config_) {
    PumpRoutesOf(*view);
  }
}

void Dispatcher::Avoid(ConnectionId backend, const Refusal& refusal) {
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
      time = kAvoidFull;
      break;
    case RefusalCode::kOverloaded:
    case RefusalCode::kNoBackend:
    case RefusalCode::kZoneOut:
    case RefusalCode::kNotReady:
    case RefusalCode::kBackendFailed:
    case RefusalCode::kInternal:
      time = kAvoidFailed;
      break;
    default:
      return;
  }
  const TimePoint until = now_ + refusal.retry_after.value_or(time);
  view->AvoidUntil(until);
  next_pump_ = next_pump_ ? std::min(*next_pump_, until) : until;
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
  request.phase = RequestPhase::kBetween;
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
      FinishRefused(request, std::move(refusal));
      break;
    case RetryDecision::kRetryAfterConfig:
      if (config_->version() <= request.submitted_version) {
        request.phase = RequestPhase::kAwaitConfig;
        break;
      }
      [[fallthrough]];
    case RetryDecision::kRetry:
      ++counters_.retries;
      // It runs under the version of now, which may differ from the one that
      // it was last checked under.
      if (Recheck(request)) {
        Requeue(request);
      }
      break;
  }
  Pump(route);
  if (view != nullptr) {
    PumpRoutesOf(*view);
  }
}

void Dispatcher::Abandon(ActiveRequest& request, Refusal refusal) {
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
    case RequestPhase::kAdmission:
      if (auto* shared = std::get_if<SharedLimits>(&limits_)) {
        shared->Forget(request.call.id);
      }
      break;
    case RequestPhase::kIntent:
    case RequestPhase::kAwaitConfig:
    case RequestPhase::kBetween:
      break;
  }
  FinishRefused(request, std::move(refusal));
}

void Dispatcher::FinishRefused(ActiveRequest& request, Refusal refusal) {
  refusal.run_state = request.run_state;
  const RefusalCode code = refusal.code;
  if (request.has_intent && request.run_state == RunState::kNotRun) {
    Emit(ReleaseIntent{.workspace = request.access.workspace,
                       .key = request.call.idempotency_key});
  }
  if (request.is_caller_gone) {
    Erase(request, std::nullopt);
    return;
  }
  if (request.has_output) {
    Emit(
        BreakStream{.request = request.call.id, .refusal = std::move(refusal)});
  } else {
    Emit(Refuse{.request = request.call.id, .refusal = std::move(refusal)});
  }
  Erase(request, code);
}

void Dispatcher::FinishAnswered(ActiveRequest& request, const End& end) {
  if (request.has_intent) {
    Emit(CompleteIntent{.workspace = request.access.workspace,
                        .key = request.call.idempotency_key,
                        .answer = {.http_status = end.http_status,
                                   .content_type = end.content_type,
                                   .body = request.body}});
  }
  if (!request.is_caller_gone) {
    if (request.call.stream && IsSuccess(end.http_status)) {
      Emit(FinishStream{request.call.id});
    } else {
      Emit(Answer{.request = request.call.id,
                  .http_status = end.http_status,
                  .content_type = end.content_type,
                  .body = std::move(request.body)});
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
  if (request.first_part) {
    observed.first_part = *request.first_part - request.call.arrived;
  }
  Emit(std::move(observed));
  held_bytes_ -= request.call.body.size();
  requests_.Erase(request.call.id);
}

}  // namespace carawayrelay

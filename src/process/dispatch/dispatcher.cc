#include "process/dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Time after which a caller should try another entry or the same one again.
constexpr milliseconds kRetrySoon{1000};
constexpr milliseconds kAcknowledgedReportInterval{300};

using LimitState = std::variant<LocalLimits, SharedLimits>;

LimitState MakeLimits(const std::optional<SharedLimits::Options>& options) {
  return options ? LimitState(SharedLimits(*options)) : LimitState();
}

}  // namespace

Dispatcher::Dispatcher(Options options)
    : options_(std::move(options)),
      rng_(options_.seed),
      limits_(MakeLimits(options_.shared_limits)),
      backends_(options_.choice) {}

DispatchActions Dispatcher::Handle(DispatchEvent event, TimePoint now) {
  now_ = now;
  std::visit([this](auto& e) { On(e); }, event);
  AdvanceLimits();
  if (is_draining_ && !is_drained_ && requests_.size() == 0) {
    is_drained_ = true;
    Emit(Drained{});
  }
  return std::exchange(actions_, {});
}

std::optional<TimePoint> Dispatcher::NextDeadline() const {
  std::optional<TimePoint> deadline = requests_.NextDeadline();
  const auto include = [&](TimePoint other) {
    deadline = deadline ? std::min(*deadline, other) : other;
  };
  if (next_pump_) {
    include(*next_pump_);
  }
  if (const auto* shared = std::get_if<SharedLimits>(&limits_)) {
    include(shared->NextDeadline(now_));
  }
  return deadline;
}

void Dispatcher::On(RequestArrived& event) {
  ClientRequest& call = event.request;
  const std::optional<Access> access = Admit(call);
  if (!access) {
    return;
  }
  ++counters_.admitted;
  held_bytes_ += call.body.size();
  call.bearer_token.clear();
  const TimePoint deadline = call.arrived + options_.time_limit;
  const TraceContext span = MakeChild(call.trace, rng_);
  ActiveRequest& request = requests_.Add({.call = std::move(call),
                                          .access = *access,
                                          .deadline = deadline,
                                          .span = span});
  const Admission admission =
      access->workspace.empty()
          ? Admission::kAdmitted
          : AdmitByRate(access->workspace, request.call.id);
  switch (admission) {
    case Admission::kAdmitted:
      Proceed(request);
      break;
    case Admission::kWaiting:
      request.phase = RequestPhase::kAdmission;
      break;
    case Admission::kRefused:
      FinishRefused(request, OverRate(access->workspace));
      break;
  }
}

void Dispatcher::Proceed(ActiveRequest& request) {
  if (request.access.repeatable || request.call.idempotency_key.empty()) {
    Enqueue(request);
    return;
  }
  request.phase = RequestPhase::kIntent;
  Emit(RecordIntent{.request = request.call.id,
                    .workspace = request.access.workspace,
                    .key = request.call.idempotency_key,
                    .content_hash = Sha256Hex(
                        request.call.method + '\n' + request.call.route + '\n' +
                        request.call.path + '\n' + request.call.body)});
}

std::optional<Refusal> Dispatcher::RefusalForAll() const {
  if (is_draining_) {
    return Refusal{.code = RefusalCode::kLeaving,
                   .reason = "this entry is stopping",
                   .retry_after = kRetrySoon};
  }
  if (!config_) {
    return Refusal{.code = RefusalCode::kNotReady,
                   .reason = "this entry has no configuration yet",
                   .retry_after = kRetrySoon};
  }
  if (zone_out_since_ && now_ >= *zone_out_since_ + options_.zone_out_grace) {
    return Refusal{.code = RefusalCode::kZoneOut,
                   .reason = "zone '" + options_.zone + "' is out of service",
                   .retry_after = kRetrySoon};
  }
  return std::nullopt;
}

std::optional<Access> Dispatcher::Admit(const ClientRequest& call) {
  if (std::optional<Refusal> refusal = RefusalForAll()) {
    RefuseNew(call, {}, *std::move(refusal));
    return std::nullopt;
  }
  auto checked =
      CheckAccess(*config_, call.bearer_token, call.kind, call.route);
  if (auto* refusal = std::get_if<Refusal>(&checked)) {
    RefuseNew(call, {}, std::move(*refusal));
    return std::nullopt;
  }
  Access access = std::get<Access>(std::move(checked));
  if (held_bytes_ + call.body.size() > options_.max_held_bytes) {
    RefuseNew(call, access.workspace,
              {.code = RefusalCode::kOverloaded,
               .reason = "too many requests wait in this entry",
               .retry_after = kRetrySoon});
    return std::nullopt;
  }
  return access;
}

Admission Dispatcher::AdmitByRate(const std::string& workspace,
                                  RequestId request) {
  return std::visit(Overloaded{
                        [&](LocalLimits& limits) {
                          return limits.TrySpend(workspace, now_)
                                     ? Admission::kAdmitted
                                     : Admission::kRefused;
                        },
                        [&](SharedLimits& limits) {
                          return limits.Admit(workspace, request, now_);
                        },
                    },
                    limits_);
}

std::chrono::milliseconds Dispatcher::RateRetryAfter(
    const std::string& workspace) {
  return std::visit(
      Overloaded{
          [&](LocalLimits& limits) {
            return limits.RetryAfter(workspace, now_);
          },
          [&](SharedLimits& limits) { return limits.RetryAfter(workspace); },
      },
      limits_);
}

Refusal Dispatcher::OverRate(const std::string& workspace) {
  return {.code = RefusalCode::kRateLimited,
          .reason = "workspace '" + workspace + "' is over its rate",
          .retry_after = RateRetryAfter(workspace)};
}

void Dispatcher::AdvanceLimits() {
  auto* shared = std::get_if<SharedLimits>(&limits_);
  if (shared == nullptr) {
    return;
  }
  shared->Advance(now_);
  for (SendMessage& message : shared->TakeMessages()) {
    Emit(std::move(message));
  }
  for (const AdmissionResult& result : shared->TakeResults()) {
    HandleAdmission(result);
  }
  ReportReadiness();
  if (now_ >= next_acknowledged_report_) {
    next_acknowledged_report_ = now_ + kAcknowledgedReportInterval;
    Emit(ReportAcknowledged{shared->Acknowledged()});
  }
}

void Dispatcher::HandleAdmission(const AdmissionResult& result) {
  ActiveRequest* request = requests_.Find(result.request);
  if (request == nullptr || request->phase != RequestPhase::kAdmission) {
    return;
  }
  if (result.admitted) {
    Proceed(*request);
  } else {
    FinishRefused(*request, OverRate(request->access.workspace));
  }
}

void Dispatcher::On(LimitLeaseEvent& event) {
  if (auto* shared = std::get_if<SharedLimits>(&limits_)) {
    shared->HandleLease(event, now_);
  }
}

void Dispatcher::OnPeer(LinkMessage& event) {
  auto* shared = std::get_if<SharedLimits>(&limits_);
  if (shared == nullptr) {
    return;
  }
  if (const auto* ask = std::get_if<LimitAsk>(&event.message)) {
    shared->HandleAsk(event.connection, *ask, now_);
  } else if (const auto* grant = std::get_if<LimitGrant>(&event.message)) {
    shared->HandleGrant(*grant, now_);
  }
}

void Dispatcher::RefuseNew(const ClientRequest& call,
                           const std::string& workspace,
                           Refusal refusal) {
  assert(refusal.run_state == RunState::kNotRun);
  Emit(RequestObserved{.workspace = workspace,
                       .route = call.route,
                       .refused = refusal.code,
                       .total = now_ - call.arrived});
  Emit(Refuse{.request = call.id, .refusal = std::move(refusal)});
}

void Dispatcher::On(ModelsAsked& event) {
  if (std::optional<Refusal> refusal = RefusalForAll()) {
    Emit(Refuse{.request = event.request, .refusal = *std::move(refusal)});
    return;
  }
  const KeyConfig* key = config_->Authenticate(event.bearer_token);
  if (key == nullptr) {
    Emit(Refuse{.request = event.request,
                .refusal = {.code = RefusalCode::kUnauthorized,
                            .reason = "missing, unknown or withdrawn key"}});
    return;
  }
  AnswerModels answer{.request = event.request};
  for (const RouteConfig& route : config_->document().routes) {
    if (route.kind == RouteKind::kModel &&
        (route.open || ConfigSnapshot::MayUse(route, key->workspace))) {
      answer.models.push_back(route.name);
    }
  }
  Emit(std::move(answer));
}

void Dispatcher::On(CallerGone& event) {
  ActiveRequest* request = requests_.Find(event.request);
  if (request == nullptr) {
    return;
  }
  // The caller may come back for the answer with its Idempotency-Key.
  if (request->has_intent && request->phase == RequestPhase::kRunning) {
    request->is_caller_gone = true;
    return;
  }
  request->is_caller_gone = true;
  Abandon(*request,
          {.code = RefusalCode::kCancelled, .reason = "the caller left"});
  PumpAll();
}

void Dispatcher::On(ConfigAdopted& event) {
  if (config_ && event.config->version() <= config_->version()) {
    return;
  }
  config_ = std::move(event.config);
  std::visit(
      Overloaded{
          [&](LocalLimits& limits) { limits.AdoptConfig(*config_, now_); },
          [&](SharedLimits& limits) { limits.AdoptConfig(config_); },
      },
      limits_);
  if (!config_->IsZoneOut(options_.zone)) {
    zone_out_since_.reset();
  } else if (!zone_out_since_) {
    zone_out_since_ = now_;
  }
  for (const RequestId id : requests_.WithWithdrawnKey(*config_)) {
    Abandon(*requests_.Find(id), {.code = RefusalCode::kUnauthorized,
                                  .reason = "the key was withdrawn"});
  }
  for (const RequestPhase phase :
       {RequestPhase::kAdmission, RequestPhase::kIntent, RequestPhase::kQueued,
        RequestPhase::kAwaitConfig}) {
    for (const RequestId id : requests_.InPhase(phase)) {
      ActiveRequest& request = *requests_.Find(id);
      if (Recheck(request) && phase == RequestPhase::kAwaitConfig) {
        Requeue(request);
      }
    }
  }
  for (auto& [connection, view] : backends_.views()) {
    PushConfig(view);
  }
  ReportReadiness();
  PumpAll();
}

bool Dispatcher::Recheck(ActiveRequest& request) {
  auto checked = RecheckAccess(*config_, request.access, request.call.kind,
                               request.call.route);
  if (auto* refusal = std::get_if<Refusal>(&checked)) {
    Abandon(request, std::move(*refusal));
    return false;
  }
  const bool was_repeatable = request.access.repeatable;
  request.access = std::get<Access>(std::move(checked));
  if (!request.access.repeatable && was_repeatable &&
      (request.attempts > 0 || !request.call.idempotency_key.empty())) {
    // It may have run already, or lacks the intent row that it needs now.
    Abandon(request, {.code = RefusalCode::kStaleConfig,
                      .reason = "the route changed and allows no repeat now"});
    return false;
  }
  // A request with an intent row keeps the rules that it came under.
  request.access.repeatable = request.access.repeatable && was_repeatable;
  return true;
}

void Dispatcher::PushConfig(BackendView& view) {
  if (!config_ || view.config_version() >= config_->version()) {
    return;
  }
  view.OnConfigVersion(config_->version());
  Emit(SendMessage{
      .connection = view.connection(),
      .message = ConfigUpdate{.version = config_->version(),
                              .content_hash = config_->content_hash(),
                              .document = config_->json()}});
}

void Dispatcher::ReportReadiness() {
  const auto* shared = std::get_if<SharedLimits>(&limits_);
  const bool ready = config_ && !is_draining_ && !zone_out_since_ &&
                     (shared == nullptr || shared->HasStarted());
  if (ready != is_ready_) {
    is_ready_ = ready;
    Emit(ReportReady{ready});
  }
}

void Dispatcher::On(IntentRecorded& event) {
  ActiveRequest* request = requests_.Find(event.request);
  if (request == nullptr) {
    // It ended while the row was written, so it never ran.
    Emit(ReleaseIntent{.workspace = event.workspace, .key = event.key});
    return;
  }
  assert(request->phase == RequestPhase::kIntent);
  request->has_intent = true;
  Enqueue(*request);
}

void Dispatcher::On(IntentExists& event) {
  ActiveRequest* request = requests_.Find(event.request);
  if (request == nullptr) {
    return;
  }
  if (!event.same_content) {
    FinishRefused(
        *request,
        {.code = RefusalCode::kConflict,
         .reason = "the Idempotency-Key was used with other content"});
    return;
  }
  if (!event.answer) {
    // The earlier request with this key may be running or may have run.
    request->run_state = RunState::kUnknown;
    FinishRefused(*request,
                  {.code = RefusalCode::kConflict,
                   .reason = "a request with this Idempotency-Key was started "
                             "and its outcome is not known"});
    return;
  }
  Emit(Answer{.request = request->call.id,
              .http_status = event.answer->http_status,
              .content_type = event.answer->content_type,
              .body = std::move(event.answer->body)});
  Erase(*request, std::nullopt);
}

void Dispatcher::On(IntentFailed& event) {
  ActiveRequest* request = requests_.Find(event.request);
  if (request != nullptr) {
    FinishRefused(*request, {.code = RefusalCode::kStoreDown,
                             .reason = std::move(event.reason),
                             .retry_after = kRetrySoon});
  }
}

void Dispatcher::On(StopRequested& event) {
  is_draining_ = true;
  ReportReadiness();
}

void Dispatcher::On(Tick& event) {
  while (const std::optional<RequestId> id = requests_.FirstExpired(now_)) {
    ActiveRequest& request = *requests_.Find(*id);
    switch (request.phase) {
      case RequestPhase::kAdmission:
        Abandon(request, OverRate(request.access.workspace));
        break;
      case RequestPhase::kIntent:
        Abandon(request, {.code = RefusalCode::kStoreDown,
                          .reason = "the intent was not stored in time",
                          .retry_after = kRetrySoon});
        break;
      case RequestPhase::kQueued:
        Abandon(request, {.code = RefusalCode::kNoBackend,
                          .reason = "no backend server was free in time",
                          .retry_after = kRetrySoon});
        break;
      case RequestPhase::kAwaitConfig:
        Abandon(request, {.code = RefusalCode::kStaleConfig,
                          .reason = "the configuration did not arrive in time",
                          .retry_after = kRetrySoon});
        break;
      case RequestPhase::kBetween:
      case RequestPhase::kRunning:
        Abandon(request, {.code = RefusalCode::kDeadline,
                          .reason = "the time limit of the request passed"});
        break;
    }
  }
  if (next_pump_ && now_ >= *next_pump_) {
    next_pump_.reset();
  }
  PumpAll();
}

void Dispatcher::On(LinkUp& event) {
  auto* shared = std::get_if<SharedLimits>(&limits_);
  if (shared != nullptr && event.peer.role == Role::kEntry &&
      event.peer.link_class == LinkClass::kPeer) {
    shared->PeerUp(event.connection, event.peer.node);
    return;
  }
  if (event.peer.role != Role::kAgent ||
      event.peer.link_class != LinkClass::kOnline ||
      event.peer.protocol_version != kProtocolVersion) {
    Emit(CloseConnection{event.connection});
    return;
  }
  PushConfig(backends_.Add(event.connection, event.peer));
}

void Dispatcher::On(LinkMessage& event) {
  const ConnectionId from = event.connection;
  if (auto* part = std::get_if<Part>(&event.message)) {
    OnPart(from, *part);
  } else if (const auto* end = std::get_if<End>(&event.message)) {
    OnEnd(from, *end);
  } else if (auto* refused = std::get_if<Refused>(&event.message)) {
    OnRefused(from, *refused);
  } else if (const auto* status = std::get_if<Status>(&event.message)) {
    OnStatus(from, *status);
  } else if (auto* update = std::get_if<ConfigUpdate>(&event.message)) {
    if (update->version > config_version()) {
      Emit(ProposeConfig{std::move(*update)});
    }
  } else {
    OnPeer(event);
  }
}

void Dispatcher::On(LinkDown& event) {
  if (auto* shared = std::get_if<SharedLimits>(&limits_)) {
    shared->PeerDown(event.connection);
  }
  const std::vector<RequestId> running = requests_.RunningOn(event.connection);
  backends_.Erase(event.connection);
  for (const RequestId id : running) {
    ActiveRequest& request = *requests_.Find(id);
    const bool has_run = request.assembler.parts() > 0;
    FailAttempt(request,
                {.code = RefusalCode::kConnectionLost,
                 .run_state = has_run ? RunState::kRan : RunState::kUnknown,
                 .reason = "the connection to the backend server broke"},
                /*send_cancel=*/false);
  }
}

}  // namespace carawayrelay

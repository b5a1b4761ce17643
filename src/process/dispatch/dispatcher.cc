#include "process/dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Time after which a refused client should retry, on this or another entry.
constexpr milliseconds kClientRetryDelay{1000};
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
  if (next_dispatch_) {
    include(*next_dispatch_);
  }
  if (const auto* shared = std::get_if<SharedLimits>(&limits_)) {
    include(shared->NextDeadline(now_));
  }
  return deadline;
}

void Dispatcher::On(RequestArrived& event) {
  ClientRequest& call = event.request;
  const std::optional<Access> access = AuthorizeOrRefuse(call);
  if (!access) {
    return;
  }
  ++counters_.admitted;
  total_body_bytes_ += call.body.size();
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
          : ApplyRateLimit(access->workspace, request.call.id);
  switch (admission) {
    case Admission::kAdmitted:
      RecordIntentOrEnqueue(request);
      break;
    case Admission::kWaiting:
      request.phase = RequestPhase::kAwaitingTokens;
      break;
    case Admission::kRefused:
      FinishWithRefusal(request, RateLimitedRefusal(access->workspace));
      break;
  }
}

void Dispatcher::RecordIntentOrEnqueue(ActiveRequest& request) {
  if (request.access.repeatable || request.call.idempotency_key.empty()) {
    Enqueue(request);
    return;
  }
  request.phase = RequestPhase::kAwaitingIntent;
  Emit(RecordIntent{.request = request.call.id,
                    .workspace = request.access.workspace,
                    .key = request.call.idempotency_key,
                    .content_hash = Sha256Hex(
                        request.call.method + '\n' + request.call.route + '\n' +
                        request.call.path + '\n' + request.call.body)});
}

std::optional<Refusal> Dispatcher::RefusalIfNotServing() const {
  if (is_draining_) {
    return Refusal{.code = RefusalCode::kLeaving,
                   .reason = "this entry is stopping",
                   .retry_after = kClientRetryDelay};
  }
  if (!config_) {
    return Refusal{.code = RefusalCode::kNotReady,
                   .reason = "this entry has no configuration yet",
                   .retry_after = kClientRetryDelay};
  }
  if (zone_out_since_ && now_ >= *zone_out_since_ + options_.zone_out_grace) {
    return Refusal{.code = RefusalCode::kZoneOut,
                   .reason = "zone '" + options_.zone + "' is out of service",
                   .retry_after = kClientRetryDelay};
  }
  return std::nullopt;
}

std::optional<Access> Dispatcher::AuthorizeOrRefuse(const ClientRequest& call) {
  if (std::optional<Refusal> refusal = RefusalIfNotServing()) {
    RefuseUnadmitted(call, {}, *std::move(refusal));
    return std::nullopt;
  }
  auto checked =
      CheckAccess(*config_, call.bearer_token, call.kind, call.route);
  if (auto* refusal = std::get_if<Refusal>(&checked)) {
    RefuseUnadmitted(call, {}, std::move(*refusal));
    return std::nullopt;
  }
  Access access = std::get<Access>(std::move(checked));
  if (total_body_bytes_ + call.body.size() > options_.max_total_body_bytes) {
    RefuseUnadmitted(call, access.workspace,
                     {.code = RefusalCode::kOverloaded,
                      .reason = "too many requests wait in this entry",
                      .retry_after = kClientRetryDelay});
    return std::nullopt;
  }
  return access;
}

Admission Dispatcher::ApplyRateLimit(const std::string& workspace,
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

Refusal Dispatcher::RateLimitedRefusal(const std::string& workspace) {
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
  ReportReadinessChange();
  if (now_ >= next_acknowledged_report_) {
    next_acknowledged_report_ = now_ + kAcknowledgedReportInterval;
    Emit(ReportAcknowledged{shared->Acknowledged()});
  }
}

void Dispatcher::HandleAdmission(const AdmissionResult& result) {
  ActiveRequest* request = requests_.Find(result.request);
  if (request == nullptr || request->phase != RequestPhase::kAwaitingTokens) {
    return;
  }
  if (result.admitted) {
    RecordIntentOrEnqueue(*request);
  } else {
    FinishWithRefusal(*request, RateLimitedRefusal(request->access.workspace));
  }
}

void Dispatcher::On(LimitLeaseEvent& event) {
  if (auto* shared = std::get_if<SharedLimits>(&limits_)) {
    shared->HandleLease(event, now_);
  }
}

void Dispatcher::OnPeerMessage(LinkMessage& event) {
  auto* shared = std::get_if<SharedLimits>(&limits_);
  if (shared == nullptr) {
    return;
  }
  if (const auto* limit_request = std::get_if<LimitRequest>(&event.message)) {
    shared->HandleLimitRequest(event.connection, *limit_request, now_);
  } else if (const auto* grant = std::get_if<LimitGrant>(&event.message)) {
    shared->HandleGrant(*grant, now_);
  }
}

void Dispatcher::RefuseUnadmitted(const ClientRequest& call,
                                  const std::string& workspace,
                                  Refusal refusal) {
  assert(refusal.run_state == RunState::kNotRun);
  Emit(RequestObserved{.workspace = workspace,
                       .route = call.route,
                       .refused = refusal.code,
                       .total = now_ - call.arrived});
  Emit(Refuse{.request = call.id, .refusal = std::move(refusal)});
}

void Dispatcher::On(ModelsRequested& event) {
  if (std::optional<Refusal> refusal = RefusalIfNotServing()) {
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
  SendModels response{.request = event.request};
  for (const RouteConfig& route : config_->document().routes) {
    if (route.kind == RouteKind::kModel &&
        (route.open || ConfigSnapshot::MayUse(route, key->workspace))) {
      response.models.push_back(route.name);
    }
  }
  Emit(std::move(response));
}

void Dispatcher::On(ClientDisconnected& event) {
  ActiveRequest* request = requests_.Find(event.request);
  if (request == nullptr) {
    return;
  }
  // The client may request the response again with its Idempotency-Key.
  if (request->has_intent && request->phase == RequestPhase::kRunning) {
    request->is_client_disconnected = true;
    return;
  }
  request->is_client_disconnected = true;
  AbortRequest(*request,
               {.code = RefusalCode::kCancelled, .reason = "the caller left"});
  DispatchAllRoutes();
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
  for (const RequestId id : requests_.WithInvalidKey(*config_)) {
    AbortRequest(*requests_.Find(id), {.code = RefusalCode::kUnauthorized,
                                       .reason = "the key was withdrawn"});
  }
  for (const RequestPhase phase :
       {RequestPhase::kAwaitingTokens, RequestPhase::kAwaitingIntent,
        RequestPhase::kQueued, RequestPhase::kAwaitingConfig}) {
    for (const RequestId id : requests_.InPhase(phase)) {
      ActiveRequest& request = *requests_.Find(id);
      if (ReauthorizeOrAbort(request) &&
          phase == RequestPhase::kAwaitingConfig) {
        Requeue(request);
      }
    }
  }
  for (auto& [connection, view] : backends_.views()) {
    SendConfigIfNewer(view);
  }
  ReportReadinessChange();
  DispatchAllRoutes();
}

bool Dispatcher::ReauthorizeOrAbort(ActiveRequest& request) {
  auto checked = RecheckAccess(*config_, request.access, request.call.kind,
                               request.call.route);
  if (auto* refusal = std::get_if<Refusal>(&checked)) {
    AbortRequest(request, std::move(*refusal));
    return false;
  }
  const bool was_repeatable = request.access.repeatable;
  request.access = std::get<Access>(std::move(checked));
  if (!request.access.repeatable && was_repeatable &&
      (request.attempts > 0 || !request.call.idempotency_key.empty())) {
    // It may have run already, or has no intent row although it needs one now.
    AbortRequest(request,
                 {.code = RefusalCode::kStaleConfig,
                  .reason = "the route changed and allows no repeat now"});
    return false;
  }
  // A request that was accepted as not repeatable, with or without an intent
  // row, stays not repeatable.
  request.access.repeatable = request.access.repeatable && was_repeatable;
  return true;
}

void Dispatcher::SendConfigIfNewer(BackendView& view) {
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

void Dispatcher::ReportReadinessChange() {
  const auto* shared = std::get_if<SharedLimits>(&limits_);
  const bool ready = config_ && !is_draining_ && !zone_out_since_ &&
                     (shared == nullptr || shared->HasContactedAllShards());
  if (ready != is_ready_) {
    is_ready_ = ready;
    Emit(ReportReady{ready});
  }
}

void Dispatcher::On(IntentRecorded& event) {
  ActiveRequest* request = requests_.Find(event.request);
  if (request == nullptr) {
    // The request ended while the row was being written, so it never ran.
    Emit(ReleaseIntent{.workspace = event.workspace, .key = event.key});
    return;
  }
  assert(request->phase == RequestPhase::kAwaitingIntent);
  request->has_intent = true;
  Enqueue(*request);
}

void Dispatcher::On(IntentExists& event) {
  ActiveRequest* request = requests_.Find(event.request);
  if (request == nullptr) {
    return;
  }
  if (!event.same_content) {
    FinishWithRefusal(
        *request,
        {.code = RefusalCode::kConflict,
         .reason = "the Idempotency-Key was used with other content"});
    return;
  }
  if (!event.response) {
    // The earlier request with this key may be running or have run.
    request->run_state = RunState::kUnknown;
    FinishWithRefusal(
        *request, {.code = RefusalCode::kConflict,
                   .reason = "a request with this Idempotency-Key was started "
                             "and its outcome is not known"});
    return;
  }
  Emit(SendResponse{.request = request->call.id,
                    .http_status = event.response->http_status,
                    .content_type = event.response->content_type,
                    .body = std::move(event.response->body)});
  Erase(*request, std::nullopt);
}

void Dispatcher::On(IntentFailed& event) {
  ActiveRequest* request = requests_.Find(event.request);
  if (request != nullptr) {
    FinishWithRefusal(*request, {.code = RefusalCode::kStoreDown,
                                 .reason = std::move(event.reason),
                                 .retry_after = kClientRetryDelay});
  }
}

void Dispatcher::On(StopRequested& event) {
  is_draining_ = true;
  ReportReadinessChange();
}

void Dispatcher::On(Tick& event) {
  while (const std::optional<RequestId> id = requests_.FirstExpired(now_)) {
    ActiveRequest& request = *requests_.Find(*id);
    switch (request.phase) {
      case RequestPhase::kAwaitingTokens:
        AbortRequest(request, RateLimitedRefusal(request.access.workspace));
        break;
      case RequestPhase::kAwaitingIntent:
        AbortRequest(request, {.code = RefusalCode::kStoreDown,
                               .reason = "the intent was not stored in time",
                               .retry_after = kClientRetryDelay});
        break;
      case RequestPhase::kQueued:
        AbortRequest(request, {.code = RefusalCode::kNoBackend,
                               .reason = "no backend server was free in time",
                               .retry_after = kClientRetryDelay});
        break;
      case RequestPhase::kAwaitingConfig:
        AbortRequest(request,
                     {.code = RefusalCode::kStaleConfig,
                      .reason = "the configuration did not arrive in time",
                      .retry_after = kClientRetryDelay});
        break;
      case RequestPhase::kBetweenAttempts:
      case RequestPhase::kRunning:
        AbortRequest(request,
                     {.code = RefusalCode::kDeadline,
                      .reason = "the time limit of the request passed"});
        break;
    }
  }
  if (next_dispatch_ && now_ >= *next_dispatch_) {
    next_dispatch_.reset();
  }
  DispatchAllRoutes();
}

void Dispatcher::On(LinkUp& event) {
  auto* shared = std::get_if<SharedLimits>(&limits_);
  if (shared != nullptr && event.peer.role == Role::kEntry &&
      event.peer.link_class == LinkClass::kPeer) {
    shared->AddPeer(event.connection, event.peer.node);
    return;
  }
  if (event.peer.role != Role::kAgent ||
      event.peer.link_class != LinkClass::kOnline ||
      event.peer.protocol_version != kProtocolVersion) {
    Emit(CloseConnection{event.connection});
    return;
  }
  SendConfigIfNewer(backends_.Add(event.connection, event.peer));
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
    OnPeerMessage(event);
  }
}

void Dispatcher::On(LinkDown& event) {
  if (auto* shared = std::get_if<SharedLimits>(&limits_)) {
    shared->RemovePeer(event.connection);
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

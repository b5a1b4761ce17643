#include "process/serving/frontend_process.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform/client_codec.h"
#include "process/serving/serving_metrics.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
// Tick interval without active requests. Events end the wait early.
constexpr milliseconds kIdleTickInterval{200};
constexpr milliseconds kMetricsInterval{1000};
// Maximum age of the configuration as a fraction of the key revocation time.
constexpr double kMaxConfigAgeFraction = 0.8;
// Retry-After of refusals while this frontend cannot serve requests.
constexpr milliseconds kNotReadyRetry{500};
// Time that the load balancer needs after a stop signal to route clients to
// other frontends.
constexpr milliseconds kDeregistrationDelay{3000};
// After kDeregistrationDelay, the process stops when no request has arrived and
// no response has ended for this long.
constexpr milliseconds kMinIdleBeforeStop{500};
// Part of the stop grace period that is reserved for ending the threads.
constexpr milliseconds kShutdownReserve{700};
// Requests that arrive within this time before the stop are refused, because
// the response might not be complete in time.
constexpr milliseconds kRefuseBeforeStop{2000};
// If the job table is older than this, job requests read from the store.
constexpr milliseconds kMaxJobsAge{1200};
constexpr size_t kMaxBodyBytes = size_t{8} << 20;
constexpr const char* kMetricsPath = "/metrics";
constexpr const char* kMetricsType = "text/plain; version=0.0.4";

std::string HostOf(const HttpRequest& request) {
  const auto it = request.headers.find("host");
  return it == request.headers.end()
             ? std::string()
             : it->second.substr(0, it->second.find(':'));
}

}  // namespace

Result<std::unique_ptr<FrontendProcess>> FrontendProcess::Make(
    FrontendSettings settings,
    std::uint64_t seed) {
  std::unique_ptr<FrontendProcess> process(
      new FrontendProcess(std::move(settings), seed));
  BOOST_OUTCOME_TRY(process->Start());
  return process;
}

FrontendProcess::FrontendProcess(FrontendSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      seed_(seed),
      allowances_(settings_.node) {}

FrontendProcess::~FrontendProcess() {
  if (core_) {
    core_->events().Close();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  if (clients_server_) {
    clients_server_->Stop();
  }
  if (ready_server_) {
    ready_server_->Stop();
  }
  if (metrics_server_) {
    metrics_server_->Stop();
  }
  if (core_) {
    core_->Stop();
  }
}

Result<void> FrontendProcess::Start() {
  BOOST_OUTCOME_TRY(
      core_, ServingCore::Make(
                 {.store_address = settings_.store_address, .seed = seed_},
                 [this](TimePoint now) {
                   if (core_->operators().config()) {
                     allowances_.SetConfig(core_->operators().config(), now);
                   }
                 }));
  const auto send_response = [this](ClientCallId client,
                                    ClientResponseEvent a) {
    SendResponse(client, std::move(a));
  };
  forwarder_ = std::make_unique<OnlineForwarder>(
      OnlineForwarder::Options{
          .zone = settings_.zone,
          .seed = seed_,
          .observe = [this](const RequestObserved& o) { Observe(o); }},
      core_->backends(), allowances_, core_->calls(), core_->clock(),
      send_response);
  demand_reporter_ = std::make_unique<DemandReporter>(
      settings_.node, allowances_, core_->store(), core_->clock());
  job_api_ =
      std::make_unique<JobApi>(core_->jobs(), core_->writer(), core_->store(),
                               core_->clock(), send_response);
  if (!settings_.traces_url.empty()) {
    BOOST_OUTCOME_TRY(telemetry_,
                      TelemetryThread::Make(
                          {.resource = {.service_name = "carawayrelay-frontend",
                                        .instance_id = settings_.node,
                                        .zone = settings_.zone},
                           .endpoint = settings_.traces_url}));
  }
  if (!settings_.listen_metrics.empty()) {
    BOOST_OUTCOME_TRY(
        metrics_server_,
        HttpServer::Make({.listen_address = settings_.listen_metrics},
                         [this](const HttpRequest& request,
                                const HttpExchangePtr& exchange) {
                           HandleMonitoringRequest(request, exchange);
                         }));
  }
  BOOST_OUTCOME_TRY(
      ready_server_,
      HttpServer::Make(
          {.listen_address = settings_.listen_ready},
          [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
            HandleMonitoringRequest(request, exchange);
          }));
  BOOST_OUTCOME_TRY(
      clients_server_,
      HttpServer::Make(
          {.listen_address = settings_.listen_clients,
           .max_body_bytes = kMaxBodyBytes},
          [this](HttpRequest request, HttpExchangePtr exchange) {
            ServingEvent event(
                HttpRequestArrived{std::move(request), std::move(exchange)});
            if (!core_->events().TryPush(event)) {
              const CompleteResponse refusal = platform::EncodeRefusal(
                  {.code = RefusalCode::kOverloaded,
                   .reason = "too many events are waiting",
                   .retry_after = kNotReadyRetry});
              std::get<HttpRequestArrived>(event).exchange->Respond(
                  refusal.status, refusal.headers, refusal.body);
            }
          }));
  thread_ = std::thread([this] { Run(); });
  LogDecision(LogEvent::kServingStarted, "role", "frontend", "zone",
              settings_.zone, "clients", settings_.listen_clients, "ready",
              settings_.listen_ready, "store", settings_.store_address);
  return Success();
}

void FrontendProcess::Run() {
  while (true) {
    const TimePoint now = core_->BeginIteration();
    if (now >= next_tick_) {
      next_tick_ =
          now + (exchanges_.empty() ? kIdleTickInterval : kTickInterval);
      Tick(now);
    }
    core_->Tick(now);
    job_api_->Tick(now);
    if (IsDrained(now) || core_->events().IsClosed()) {
      break;
    }
    if (auto event = core_->events().PopUntil(next_tick_)) {
      HandleEvent(*std::move(event), core_->BeginIteration());
    }
  }
  is_ready_ = false;
  exchanges_.clear();
}

void FrontendProcess::HandleEvent(ServingEvent event, TimePoint now) {
  std::visit(Overloaded{
                 [&](HttpRequestArrived& arrived) {
                   HandleRequest(std::move(arrived), now);
                 },
                 [&](ShutdownRequested&) {
                   draining_since_ = now;
                   last_active_ = now;
                   is_ready_ = false;
                   LogDecision(LogEvent::kServingStopping, "active",
                               exchanges_.size());
                 },
                 [](ReloadRequested&) {
                   LogDecision(LogEvent::kServingReloaded, "changed", false);
                 },
                 [&](auto& call) { core_->Deliver(std::move(call)); },
             },
             event);
}

std::optional<Refusal> FrontendProcess::RefusalForAnyRequest(
    TimePoint now) const {
  if (draining_since_ && now - *draining_since_ >= settings_.stop_grace -
                                                       kShutdownReserve -
                                                       kRefuseBeforeStop) {
    return Refusal{.code = RefusalCode::kLeaving,
                   .reason = "this entry is about to stop",
                   .retry_after = milliseconds(0)};
  }
  const std::optional<Duration> age = core_->operators().Age(now);
  if (!age) {
    return Refusal{.code = RefusalCode::kNotReady,
                   .reason = "no configuration is known yet",
                   .retry_after = kNotReadyRetry};
  }
  if (*age >= settings_.key_revocation * kMaxConfigAgeFraction) {
    return Refusal{.code = RefusalCode::kStaleConfig,
                   .reason = "the configuration was last confirmed " +
                             std::to_string(ToMilliseconds(*age)) + " ms ago",
                   .retry_after = kNotReadyRetry};
  }
  return std::nullopt;
}

void FrontendProcess::HandleRequest(HttpRequestArrived arrived, TimePoint now) {
  const ClientCallId client{next_client_++};
  last_active_ = now;
  if (draining_since_) {
    arrived.exchange->CloseAfterResponse();
  }
  exchanges_.emplace(client, std::move(arrived.exchange));
  next_tick_ = std::min(next_tick_, now + kTickInterval);
  HttpRequest& request = arrived.request;
  if (auto refusal = RefusalForAnyRequest(now)) {
    Refuse(client, platform::RequestIdOf(request), *std::move(refusal));
    return;
  }
  if (auto refusal = RefusalForSize(request)) {
    Refuse(client, platform::RequestIdOf(request), *std::move(refusal));
    return;
  }
  if (auto call = platform::DecodeJobCall(request)) {
    const ServingRoute* route =
        core_->operators().config()->FindBulkRoute(HostOf(request));
    if (route != nullptr) {
      HandleJobCall(client, request, *std::move(call), *route, now);
      return;
    }
  }
  Result<ClientCall> call = platform::DecodeClientCall(std::move(request), now);
  if (!call) {
    Refuse(
        client, "",
        {.code = RefusalCode::kInvalidRequest, .reason = call.error().message});
    return;
  }
  call.value().client = client;
  HandleClientCall(std::move(call).value(), now);
}

std::optional<Refusal> FrontendProcess::RefusalForSize(
    const HttpRequest& request) const {
  const ClientLimits& limits = core_->operators().config()->limits();
  if (request.body.size() > limits.body_bytes) {
    return Refusal{.code = RefusalCode::kTooLarge,
                   .reason = "the body is over the limit of " +
                             std::to_string(limits.body_bytes) + " bytes"};
  }
  size_t header_bytes = request.path.size() + request.query.size();
  for (const auto& [name, value] : request.headers) {
    header_bytes += name.size() + value.size();
  }
  if (header_bytes > limits.header_bytes) {
    return Refusal{.code = RefusalCode::kHeadersTooLarge,
                   .reason = "the headers are over the limit of " +
                             std::to_string(limits.header_bytes) + " bytes"};
  }
  return std::nullopt;
}

void FrontendProcess::HandleJobCall(ClientCallId client,
                                    const HttpRequest& request,
                                    platform::JobCall call,
                                    const ServingRoute& route,
                                    TimePoint now) {
  const ServingWorkspace* workspace =
      core_->operators().config()->FindWorkspaceByKey(
          platform::ApiKeyOf(request));
  if (workspace == nullptr) {
    Refuse(client, route.name,
           {.code = RefusalCode::kUnauthorized, .reason = "unknown key"});
    return;
  }
  job_api_->Handle(client, std::move(call), workspace->name,
                   core_->AreJobsCurrent(kMaxJobsAge, now));
}

void FrontendProcess::HandleClientCall(ClientCall call, TimePoint now) {
  const ServingConfig& config = *core_->operators().config();
  const ServingRoute* route = config.FindRoute(call.host, call.path);
  if (route == nullptr) {
    Refuse(call.client, call.request_id,
           {.code = RefusalCode::kNotFound, .reason = "no such route"});
    return;
  }
  const ServingWorkspace* workspace = nullptr;
  if (!route->is_open) {
    workspace = config.FindWorkspaceByKey(call.key);
    if (workspace == nullptr) {
      Refuse(call.client, call.request_id,
             {.code = RefusalCode::kUnauthorized, .reason = "unknown key"});
      return;
    }
  }
  if (route->call_class == CallClass::kBulk && workspace != nullptr) {
    job_api_->Submit(std::move(call), *route, *workspace, now);
    return;
  }
  forwarder_->HandleRequest(std::move(call), *route, workspace, now);
}

void FrontendProcess::Refuse(ClientCallId client,
                             const std::string& request_id,
                             Refusal refusal) {
  const auto& operators = core_->operators();
  LogDecision(LogEvent::kRequestRefused, "id", request_id, "code",
              ToString(refusal.code), "reason", refusal.reason,
              "config_version",
              operators.config() ? operators.config()->version() : kNoConfig);
  SendResponse(client, std::move(refusal));
}

void FrontendProcess::SendResponse(ClientCallId client,
                                   ClientResponseEvent response) {
  const auto it = exchanges_.find(client);
  if (it == exchanges_.end()) {
    return;
  }
  // Copied, because the map element may be erased below.
  const HttpExchangePtr exchange = it->second;
  if (draining_since_) {
    exchange->CloseAfterResponse();
  }
  const bool is_last = std::visit(
      Overloaded{
          [&](ResponseHead& head) {
            exchange->StartStream(head.status, head.headers);
            return false;
          },
          [&](ResponseBodyPart& part) {
            exchange->SendPart(std::move(part.bytes));
            return false;
          },
          [&](ResponseEnd&) {
            exchange->EndStream();
            return true;
          },
          [&](ResponseAborted&) {
            exchange->Abort();
            return true;
          },
          [&](CompleteResponse& complete) {
            exchange->Respond(complete.status, complete.headers,
                              std::move(complete.body));
            return true;
          },
          [&](Refusal& refusal) {
            CompleteResponse complete = platform::EncodeRefusal(refusal);
            exchange->Respond(complete.status, complete.headers,
                              std::move(complete.body));
            return true;
          },
      },
      response);
  if (is_last) {
    // The last bytes of the response may still be waiting to be sent.
    last_active_ = core_->clock().now();
    exchanges_.erase(client);
  }
}

void FrontendProcess::Tick(TimePoint now) {
  std::vector<ClientCallId> disconnected;
  for (const auto& [client, exchange] : exchanges_) {
    if (exchange->IsDisconnected()) {
      disconnected.push_back(client);
    }
  }
  for (const ClientCallId client : disconnected) {
    forwarder_->OnClientDisconnected(client);
    exchanges_.erase(client);
  }
  forwarder_->Tick(now);
  demand_reporter_->Tick(now);
  UpdateColdLimits();
  UpdateReadiness(now);
  UpdateMetrics(now);
}

void FrontendProcess::UpdateColdLimits() {
  const ServingConfigPtr& config = core_->operators().config();
  if (!config || (config->version() == cold_limits_version_ &&
                  allowances_.member_count() == cold_limits_members_)) {
    return;
  }
  cold_limits_version_ = config->version();
  cold_limits_members_ = allowances_.member_count();
  std::map<std::string, double> per_second;
  for (const ServingService& service : config->services()) {
    per_second[service.name] = service.cold_start_requests_per_second;
  }
  core_->backends().SetColdLimits(std::move(per_second), cold_limits_members_);
}

void FrontendProcess::UpdateReadiness(TimePoint now) {
  const bool is_ready = !draining_since_ && !RefusalForAnyRequest(now) &&
                        allowances_.HasShare(now) &&
                        core_->backends().size() > 0;
  if (is_ready_.exchange(is_ready) != is_ready) {
    const std::optional<Duration> age = core_->operators().Age(now);
    LogDecision(LogEvent::kServingReadiness, "ready", is_ready, "config_age_ms",
                age ? ToMilliseconds(*age) : -1, "has_share",
                allowances_.HasShare(now), "runners", core_->backends().size());
  }
}

bool FrontendProcess::IsDrained(TimePoint now) const {
  if (!draining_since_) {
    return false;
  }
  if (now - *draining_since_ >= settings_.stop_grace - kShutdownReserve) {
    return true;
  }
  return exchanges_.empty() && now - *draining_since_ >= kDeregistrationDelay &&
         now - last_active_ >= kMinIdleBeforeStop;
}

void FrontendProcess::UpdateMetrics(TimePoint now) {
  if (now < next_metrics_) {
    return;
  }
  next_metrics_ = now + kMetricsInterval;
  namespace names = serving_metrics;
  Metrics& metrics = core_->metrics();
  const OnlineForwarder::Counters& c = forwarder_->counters();
  const auto count = [&](const char* event, std::uint64_t value) {
    metrics.SetCounter(names::kRequestEvents, {{"event", event}}, value);
  };
  count("served", c.served);
  count("refused", c.refused);
  count("broken", c.broken);
  count("abandoned", c.abandoned);
  count("resent", c.resent);
  count("held", c.with_reservation);
  count("unheld", c.without_reservation);
  metrics.SetGauge(names::kRequestsActive, {},
                   static_cast<double>(forwarder_->active()));
  metrics.SetGauge(names::kRateMembers, {},
                   static_cast<double>(allowances_.member_count()));
  metrics.SetGauge(names::kRateBorrowed, {}, allowances_.BorrowedRequests(now));
  core_->UpdateMetrics(now);
}

void FrontendProcess::Observe(const RequestObserved& observed) {
  core_->metrics().Observe(observed);
  if (auto span = ToSpan(observed); span && telemetry_) {
    telemetry_->TryPush(*std::move(span));
  }
}

void FrontendProcess::HandleMonitoringRequest(const HttpRequest& request,
                                              const HttpExchangePtr& exchange) {
  if (request.path == kMetricsPath) {
    exchange->Respond(200, {{"Content-Type", kMetricsType}},
                      core_->metrics().ToPrometheusText());
  } else if (request.path == platform::kReadyPath) {
    exchange->Respond(is_ready_ ? 200 : 503, {}, is_ready_ ? "ready\n" : "\n");
  } else {
    exchange->Respond(404, {}, "");
  }
}

void FrontendProcess::Drain() {
  core_->events().Push(ServingEvent(ShutdownRequested{}));
  thread_.join();
  LogDecision(LogEvent::kServingStopped, "role", "frontend");
}

void FrontendProcess::Reload() {
  core_->events().Push(ServingEvent(ReloadRequested{}));
}

}  // namespace carawayrelay

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
// Without requests; events end the wait.
constexpr milliseconds kIdleTickInterval{200};
constexpr milliseconds kMetricsInterval{1000};
// The configuration may be this part of the revocation time old.
constexpr double kConfigAgePart = 0.8;
// Clients are sent elsewhere when this entry cannot answer yet.
constexpr milliseconds kNotReadyRetry{500};
// After a stop signal the balancer needs this long to send clients elsewhere.
constexpr milliseconds kLeaveTime{3000};
// Without requests and answers for this long after kLeaveTime the process
// stops.
constexpr milliseconds kQuietTime{500};
// Before the end of the grace, for the threads to end.
constexpr milliseconds kStopReserve{700};
// Requests that come later than this before the stop are refused, because the
// answer might not end in time.
constexpr milliseconds kLastServiceTime{2000};
// Known jobs older than this are read from the store.
constexpr milliseconds kJobsAge{1200};
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
  const auto answer = [this](ClientCallId client, ClientResponseEvent a) {
    Answer(client, std::move(a));
  };
  forwarder_ = std::make_unique<OnlineForwarder>(
      OnlineForwarder::Options{
          .zone = settings_.zone,
          .seed = seed_,
          .observe = [this](const RequestObserved& o) { Observe(o); }},
      core_->runners(), allowances_, core_->calls(), core_->clock(), answer);
  demand_reports_ = std::make_unique<DemandReports>(
      settings_.node, allowances_, core_->store(), core_->clock());
  job_api_ = std::make_unique<JobApi>(core_->jobs(), core_->writer(),
                                      core_->store(), core_->clock(), answer);
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
                           HandleReady(request, exchange);
                         }));
  }
  BOOST_OUTCOME_TRY(ready_server_,
                    HttpServer::Make({.listen_address = settings_.listen_ready},
                                     [this](const HttpRequest& request,
                                            const HttpExchangePtr& exchange) {
                                       HandleReady(request, exchange);
                                     }));
  BOOST_OUTCOME_TRY(
      clients_server_,
      HttpServer::Make({.listen_address = settings_.listen_clients,
                        .max_body_bytes = kMaxBodyBytes},
                       [this](HttpRequest request, HttpExchangePtr exchange) {
                         ServingEvent event(HttpArrived{std::move(request),
                                                        std::move(exchange)});
                         if (!core_->events().TryPush(event)) {
                           const CompleteResponse refusal =
                               platform::EncodeRefusal(
                                   {.code = RefusalCode::kOverloaded,
                                    .reason = "too many events are waiting",
                                    .retry_after = kNotReadyRetry});
                           std::get<HttpArrived>(event).exchange->Reply(
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
    const TimePoint now = core_->BeginStep();
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
      Take(*std::move(event), core_->BeginStep());
    }
  }
  is_ready_ = false;
  exchanges_.clear();
}

void FrontendProcess::Take(ServingEvent event, TimePoint now) {
  std::visit(
      Overloaded{
          [&](HttpArrived& arrived) { TakeRequest(std::move(arrived), now); },
          [&](StopAsked&) {
            draining_since_ = now;
            last_active_ = now;
            is_ready_ = false;
            LogDecision(LogEvent::kServingStopping, "active",
                        exchanges_.size());
          },
          [](ReloadAsked&) {
            LogDecision(LogEvent::kServingReloaded, "changed", false);
          },
          [&](auto& call) { core_->Deliver(std::move(call)); },
      },
      event);
}

std::optional<Refusal> FrontendProcess::RefusalForAll(TimePoint now) const {
  if (draining_since_ && now - *draining_since_ >= settings_.stop_grace -
                                                       kStopReserve -
                                                       kLastServiceTime) {
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
  if (*age >= settings_.key_revocation * kConfigAgePart) {
    return Refusal{.code = RefusalCode::kStaleConfig,
                   .reason = "the configuration was last confirmed " +
                             std::to_string(ToMilliseconds(*age)) + " ms ago",
                   .retry_after = kNotReadyRetry};
  }
  return std::nullopt;
}

void FrontendProcess::TakeRequest(HttpArrived arrived, TimePoint now) {
  const ClientCallId client{next_client_++};
  last_active_ = now;
  if (draining_since_) {
    arrived.exchange->CloseAfterReply();
  }
  exchanges_.emplace(client, std::move(arrived.exchange));
  next_tick_ = std::min(next_tick_, now + kTickInterval);
  HttpRequest& request = arrived.request;
  if (auto refusal = RefusalForAll(now)) {
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
      TakeJobCall(client, request, *std::move(call), *route, now);
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
  TakeCall(std::move(call).value(), now);
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

void FrontendProcess::TakeJobCall(ClientCallId client,
                                  const HttpRequest& request,
                                  platform::JobCall call,
                                  const ServingRoute& route,
                                  TimePoint now) {
  const ServingWorkspace* workspace =
      core_->operators().config()->FindWorkspace(platform::KeyOf(request));
  if (workspace == nullptr) {
    Refuse(client, route.name,
           {.code = RefusalCode::kUnauthorized, .reason = "unknown key"});
    return;
  }
  job_api_->Handle(client, std::move(call), workspace->name,
                   core_->AreJobsCurrent(kJobsAge, now));
}

void FrontendProcess::TakeCall(ClientCall call, TimePoint now) {
  const ServingConfig& config = *core_->operators().config();
  const ServingRoute* route = config.FindRoute(call.host, call.path);
  if (route == nullptr) {
    Refuse(call.client, call.request_id,
           {.code = RefusalCode::kNotFound, .reason = "no such route"});
    return;
  }
  const ServingWorkspace* workspace = nullptr;
  if (!route->is_open) {
    workspace = config.FindWorkspace(call.key);
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
  Answer(client, std::move(refusal));
}

void FrontendProcess::Answer(ClientCallId client, ClientResponseEvent answer) {
  const auto it = exchanges_.find(client);
  if (it == exchanges_.end()) {
    return;
  }
  // Kept, because the entry may be erased below.
  const HttpExchangePtr exchange = it->second;
  if (draining_since_) {
    exchange->CloseAfterReply();
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
          [&](CompleteResponse& whole) {
            exchange->Reply(whole.status, whole.headers, std::move(whole.body));
            return true;
          },
          [&](Refusal& refusal) {
            CompleteResponse whole = platform::EncodeRefusal(refusal);
            exchange->Reply(whole.status, whole.headers, std::move(whole.body));
            return true;
          },
      },
      answer);
  if (is_last) {
    // The bytes of the answer still have to leave the process.
    last_active_ = core_->clock().now();
    exchanges_.erase(client);
  }
}

void FrontendProcess::Tick(TimePoint now) {
  std::vector<ClientCallId> gone;
  for (const auto& [client, exchange] : exchanges_) {
    if (exchange->IsGone()) {
      gone.push_back(client);
    }
  }
  for (const ClientCallId client : gone) {
    forwarder_->OnClientDisconnected(client);
    exchanges_.erase(client);
  }
  forwarder_->Tick(now);
  demand_reports_->Tick(now);
  SetColdLimits();
  UpdateReadiness(now);
  UpdateMetrics(now);
}

void FrontendProcess::SetColdLimits() {
  const ServingConfigPtr& config = core_->operators().config();
  if (!config || (config->version() == cold_limits_version_ &&
                  allowances_.member_count() == cold_limits_members_)) {
    return;
  }
  cold_limits_version_ = config->version();
  cold_limits_members_ = allowances_.member_count();
  std::map<std::string, double> per_second;
  for (const ServingService& service : config->services()) {
    per_second[service.name] = service.cold_requests_per_second;
  }
  core_->runners().SetColdLimits(std::move(per_second), cold_limits_members_);
}

void FrontendProcess::UpdateReadiness(TimePoint now) {
  const bool is_ready = !draining_since_ && !RefusalForAll(now) &&
                        allowances_.HasShare(now) &&
                        core_->runners().size() > 0;
  if (is_ready_.exchange(is_ready) != is_ready) {
    const std::optional<Duration> age = core_->operators().Age(now);
    LogDecision(LogEvent::kServingReadiness, "ready", is_ready, "config_age_ms",
                age ? ToMilliseconds(*age) : -1, "has_share",
                allowances_.HasShare(now), "runners", core_->runners().size());
  }
}

bool FrontendProcess::IsDrained(TimePoint now) const {
  if (!draining_since_) {
    return false;
  }
  if (now - *draining_since_ >= settings_.stop_grace - kStopReserve) {
    return true;
  }
  return exchanges_.empty() && now - *draining_since_ >= kLeaveTime &&
         now - last_active_ >= kQuietTime;
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
  metrics.SetGauge(names::kRateBorrowed, {}, allowances_.Borrowed(now));
  core_->UpdateMetrics(now);
}

void FrontendProcess::Observe(const RequestObserved& observed) {
  core_->metrics().Observe(observed);
  if (auto span = ToSpan(observed); span && telemetry_) {
    telemetry_->TryPush(*std::move(span));
  }
}

void FrontendProcess::HandleReady(const HttpRequest& request,
                                  const HttpExchangePtr& exchange) {
  if (request.path == kMetricsPath) {
    exchange->Reply(200, {{"Content-Type", kMetricsType}},
                    core_->metrics().ToPrometheusText());
  } else if (request.path == platform::kReadyPath) {
    exchange->Reply(is_ready_ ? 200 : 503, {}, is_ready_ ? "ready\n" : "\n");
  } else {
    exchange->Reply(404, {}, "");
  }
}

void FrontendProcess::Drain() {
  core_->events().Push(ServingEvent(StopAsked{}));
  thread_.join();
  LogDecision(LogEvent::kServingStopped, "role", "frontend");
}

void FrontendProcess::Reload() {
  core_->events().Push(ServingEvent(ReloadAsked{}));
}

}  // namespace carawayrelay

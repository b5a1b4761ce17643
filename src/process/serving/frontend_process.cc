#include "process/serving/frontend_process.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform/client_codec.h"
#include "process/serving/run_step.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Tick interval without active requests. Events end the wait early.
constexpr milliseconds kIdleTickInterval{200};
// Once the load balancer sends no more clients, the process stops when no
// request has arrived and no response has ended for this long.
constexpr milliseconds kMinIdleBeforeStop{500};
// How long the responses to open requests may take to leave the process at the
// stop.
constexpr milliseconds kLastResponsesDelay{100};

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
      rates_(settings_.node,
             seed,
             [this](const std::string& address, const RateMessage& message) {
               SendRateMessage(address, message);
             }) {}

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
  if (peers_socket_) {
    peers_socket_->Stop();
  }
  if (core_) {
    core_->Stop();
  }
}

Result<void> FrontendProcess::Start() {
  BOOST_OUTCOME_TRY(
      core_,
      ServingCore::Make({.node = settings_.node,
                         .store_address = settings_.store_address,
                         .seed = seed_,
                         .request_memory_bytes = settings_.memory.request_bytes,
                         .rollout = settings_.rollout},
                        [this](TimePoint) {
                          if (core_->operators().config()) {
                            rates_.SetConfig(core_->operators().config());
                            UpdateRequestLimits();
                          }
                        }));
  const auto send_response = [this](ClientCallId client,
                                    ClientResponseEvent response) {
    SendResponse(client, std::move(response));
  };
  if (!settings_.shares_health) {
    core_->backends().DisableSlowStart();
  }
  health_ = std::make_unique<SharedHealth>(
      settings_.node, seed_, core_->backends(), rates_.members(),
      [this](const std::string& address, const std::string& bytes) {
        SendDatagram(address, bytes);
      });
  forwarder_ = std::make_unique<OnlineForwarder>(
      OnlineForwarder::Options{
          .zone = settings_.zone,
          .seed = seed_,
          .observe = [this](const RequestObserved& o) { Observe(o); },
          .observe_event =
              [this](const AttemptOutcome& outcome, TimePoint at) {
                if (rollout_reporter_) {
                  rollout_reporter_->ObserveProgress(outcome, at);
                }
              },
          .observe_attempt = [this](
                                 const AttemptOutcome& outcome,
                                 TimePoint at) { ObserveAttempt(outcome, at); },
          .observe_silence =
              [this](const std::string& backend_id, TimePoint at) {
                if (settings_.shares_health) {
                  health_->detector().NoteSilence(backend_id, at);
                }
              }},
      core_->backends(), rates_, core_->quarantine(), core_->trials(),
      core_->calls(), core_->clock(), send_response);
  rate_member_reporter_ = std::make_unique<RateMemberReporter>(
      RateMemberReporter::Options{.node = settings_.node,
                                  .address = settings_.listen_peers,
                                  .weight = settings_.cpu_cores},
      rates_, core_->store().sender(), core_->clock());
  job_intake_ = std::make_unique<JobIntake>(core_->jobs(), core_->store(),
                                            core_->transfers(), core_->clock(),
                                            seed_, send_response);
  job_api_ =
      std::make_unique<JobApi>(core_->jobs(), core_->writer(), core_->store(),
                               core_->transfers(), send_response);
  MakeRollouts();
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
        HttpServer::Make(MonitoringServerOptions(settings_.listen_metrics,
                                                 core_->request_memory()),
                         [this](const HttpRequest& request,
                                const HttpExchangePtr& exchange) {
                           HandleMonitoringRequest(request, exchange);
                         }));
  }
  BOOST_OUTCOME_TRY(
      peers_socket_,
      DatagramSocket::Make(settings_.listen_peers, [this](Datagram datagram) {
        // When the ring is full, the datagram is lost and its sender asks
        // again.
        core_->events().TryPush(ServingEvent(std::move(datagram)));
      }));
  BOOST_OUTCOME_TRY(
      ready_server_,
      HttpServer::Make(
          MonitoringServerOptions(settings_.listen_ready,
                                  core_->request_memory()),
          [this](const HttpRequest& request, const HttpExchangePtr& exchange) {
            HandleMonitoringRequest(request, exchange);
          }));
  intake_ = std::make_unique<RequestIntake>(core_->events());
  BOOST_OUTCOME_TRY(
      clients_server_,
      HttpServer::Make({.listen_address = settings_.listen_clients,
                        .limits = {.body_bytes = kMaxClientBodyBytes},
                        .max_connections = MaxConnections(settings_.memory),
                        .max_response_bytes = settings_.memory.response_bytes,
                        .request_memory = core_->request_memory()},
                       [this](HttpRequest request, HttpExchangePtr exchange) {
                         intake_->Accept(std::move(request),
                                         std::move(exchange));
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
      RunStep([&] { Tick(now); });
    }
    RunStep([&] {
      core_->Tick(now);
      core_->ExchangeCrashReports(now);
      TickRollouts(now);
      job_intake_->Tick(now);
      rates_.Tick(now);
      if (settings_.shares_health) {
        health_->Tick(now);
      }
    });
    if (IsDrained(now) || core_->events().IsClosed()) {
      break;
    }
    const TimePoint wake_at =
        std::min(next_tick_, rates_.NextTimeout().value_or(next_tick_));
    if (auto event = core_->events().PopUntil(wake_at)) {
      const TimePoint event_time = core_->BeginIteration();
      RunStep([&] { HandleEvent(*std::move(event), event_time); });
    }
  }
  is_ready_ = false;
  intake_->Close();
  EndOpenRequests(core_->BeginIteration());
  exchanges_.clear();
}

void FrontendProcess::EndOpenRequests(TimePoint now) {
  if (!stop_.HasBegun()) {
    return;
  }
  forwarder_->Stop(now);
  // What is left are calls about batch jobs.
  for (const auto& [client, exchange] : exchanges_) {
    const CompleteResponse response = platform::EncodeRefusal(
        {.code = RefusalCode::kDeadline,
         .run_state = RunState::kUnknown,
         .reason = "this entry stops before the store has answered"});
    exchange->Respond(response.status, response.headers, response.body);
  }
  std::this_thread::sleep_for(kLastResponsesDelay);
}

void FrontendProcess::HandleEvent(ServingEvent event, TimePoint now) {
  std::visit(Overloaded{
                 [&](HttpRequestArrived& arrived) {
                   HandleRequest(std::move(arrived), now);
                 },
                 [&](ShutdownRequested&) {
                   stop_.Begin(now);
                   rates_.Leave(now);
                   last_active_ = now;
                   is_ready_ = false;
                   LogDecision(LogEvent::kServingStopping, "active",
                               exchanges_.size());
                 },
                 [&](Datagram& datagram) { HandleDatagram(datagram, now); },
                 [](ReloadRequested&) {
                   LogDecision(LogEvent::kServingReloaded, "changed", false);
                 },
                 [&](auto& call) { core_->Deliver(std::move(call)); },
             },
             event);
}

void FrontendProcess::SendResponse(ClientCallId client,
                                   ClientResponseEvent response) {
  const auto it = exchanges_.find(client);
  if (it == exchanges_.end()) {
    return;
  }
  // Copied, because the map element may be erased below.
  const HttpExchangePtr exchange = it->second;
  if (stop_.HasBegun()) {
    exchange->CloseAfterResponse();
  }
  const bool is_last = std::visit(
      Overloaded{
          [&](ResponseHead& head) {
            exchange->StartStream(head.status, head.headers);
            return false;
          },
          [&](ResponseBodyPart& part) {
            exchange->SendPart(part.bytes);
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
            exchange->Respond(complete.status, complete.headers, complete.body);
            return true;
          },
          [&](Refusal& refusal) {
            CompleteResponse complete = platform::EncodeRefusal(refusal);
            exchange->Respond(complete.status, complete.headers, complete.body);
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
  rate_member_reporter_->Tick(now);
  UpdateColdLimits();
  UpdateReadiness(now);
  UpdateMetrics(now);
}

void FrontendProcess::UpdateColdLimits() {
  const ServingConfigPtr& config = core_->operators().config();
  if (!config || (config->version() == cold_limits_version_ &&
                  rates_.members().size() == cold_limits_members_)) {
    return;
  }
  cold_limits_version_ = config->version();
  cold_limits_members_ = rates_.members().size();
  std::map<std::string, double> per_second;
  std::map<std::string, std::string> health_paths;
  for (const ServingService& service : config->services()) {
    per_second[service.name] = service.cold_start_requests_per_second;
    if (!service.health_path.empty()) {
      health_paths[service.name] = service.health_path;
    }
  }
  forwarder_->prober().SetHealthPaths(std::move(health_paths));
  core_->backends().SetColdLimits(std::move(per_second), cold_limits_members_);
}

bool FrontendProcess::IsDrained(TimePoint now) const {
  return stop_.IsOver(now) ||
         (stop_.IsDeregistered(now) && exchanges_.empty() &&
          now - last_active_ >= kMinIdleBeforeStop);
}

void FrontendProcess::HandleDatagram(const Datagram& datagram, TimePoint now) {
  if (IsHealthMessage(datagram.bytes)) {
    const Result<void> handled =
        health_->exchange().Handle(datagram.bytes, now);
    if (!handled) {
      LogDecision(LogEvent::kDatagramFailed, "from", datagram.from, "reason",
                  handled.error().message);
    }
    return;
  }
  const Result<RateMessage> message = DecodeRateMessage(datagram.bytes);
  if (!message) {
    LogDecision(LogEvent::kDatagramFailed, "from", datagram.from, "reason",
                message.error().message);
    return;
  }
  rates_.HandleMessage(datagram.from, message.value(), now);
}

void FrontendProcess::SendRateMessage(const std::string& address,
                                      const RateMessage& message) {
  SendDatagram(address, EncodeRateMessage(message));
}

void FrontendProcess::SendDatagram(const std::string& address,
                                   const std::string& bytes) {
  const Result<void> sent = peers_socket_->Send(address, bytes);
  if (!sent) {
    LogDecision(LogEvent::kDatagramFailed, "to", address, "reason",
                sent.error().message);
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

#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "process/forward/online_forwarder.h"
#include "process/health/shared_health.h"
#include "process/jobs/job_api.h"
#include "process/jobs/job_intake.h"
#include "process/limits/rate_admission.h"
#include "process/limits/rate_member_reporter.h"
#include "process/rollout/rollout_coordinator.h"
#include "process/rollout/rollout_reporter.h"
#include "process/serving/graceful_stop.h"
#include "process/serving/request_intake.h"
#include "process/serving/serving_core.h"
#include "process/serving/serving_settings.h"
#include "process/telemetry/request_observed.h"
#include "process/telemetry/telemetry_thread.h"

namespace carawayrelay {

// The frontend role: HTTP servers for clients, for readiness and for metrics,
// the socket for datagrams of other frontends, the HTTP client thread, and the
// event loop thread, which makes all decisions.
class FrontendProcess {
 public:
  // Binds the addresses and starts the threads. Fails with kInvalid,
  // kUnavailable or kInternal.
  static Result<std::unique_ptr<FrontendProcess>> Make(
      FrontendSettings settings,
      std::uint64_t seed);
  ~FrontendProcess();

  // Shuts down gracefully: reports not ready, still serves requests that
  // arrive and end in time, and stops when there are no more requests or the
  // stop grace period is almost over. Blocks until the event loop thread has
  // ended.
  void Drain();
  // Logs a reload request. Settings are read at start only.
  void Reload();

 private:
  static constexpr std::chrono::milliseconds kTickInterval{50};

  FrontendProcess(FrontendSettings settings, std::uint64_t seed);

  Result<void> Start();
  void Run();
  void HandleEvent(ServingEvent event, TimePoint now);
  void HandleRequest(HttpRequestArrived arrived, TimePoint now);
  void HandleJobCall(ClientCallId client,
                     const HttpRequest& request,
                     platform::JobCall call,
                     TimePoint now);
  void HandleClientCall(ClientCall call, TimePoint now);
  // Returns the refusal that applies to every request while the process is
  // about to stop or the configuration is missing or too old.
  std::optional<Refusal> RefusalForAnyRequest(TimePoint now) const;
  // Returns the refusal of a request that may last until `deadline` if the
  // process stops before.
  std::optional<Refusal> RefusalForStop(TimePoint deadline) const;
  void SendResponse(ClientCallId client, ClientResponseEvent response);
  void Refuse(ClientCallId client,
              const std::string& request_id,
              Refusal refusal);
  void Tick(TimePoint now);
  // Passes the limits of cold backend servers to the directory if the
  // configuration or the number of frontends has changed.
  void UpdateColdLimits();
  void MakeRollouts();
  void TickRollouts(TimePoint now);
  void UpdateReadiness(TimePoint now);
  bool IsDrained(TimePoint now) const;
  // Answers the requests that are still open when the process must end.
  void EndOpenRequests(TimePoint now);
  void UpdateMetrics(TimePoint now);
  void HandleDatagram(const Datagram& datagram, TimePoint now);
  void SendRateMessage(const std::string& address, const RateMessage& message);
  void SendDatagram(const std::string& address, const std::string& bytes);
  // Passes the configured limits to the server for clients.
  void UpdateRequestLimits();
  // Returns the refusal of a request whose body or headers exceed the
  // configured limits. Those that were complete before the server had these
  // limits get here.
  std::optional<Refusal> RefusalForSize(const HttpRequest& request) const;
  void Observe(const RequestObserved& observed);
  // Passes what an attempt showed to the modules that judge backend servers.
  void ObserveAttempt(const AttemptOutcome& outcome, TimePoint now);
  // Serves readiness and metrics. Called on the threads of the HTTP servers.
  void HandleMonitoringRequest(const HttpRequest& request,
                               const HttpExchangePtr& exchange);

  FrontendSettings settings_;
  std::uint64_t seed_;
  std::unique_ptr<ServingCore> core_;
  RateAdmission rates_;
  std::unique_ptr<SharedHealth> health_;
  std::unique_ptr<OnlineForwarder> forwarder_;
  std::unique_ptr<RateMemberReporter> rate_member_reporter_;
  std::unique_ptr<JobIntake> job_intake_;
  std::unique_ptr<JobApi> job_api_;
  // Not set without rollouts.
  std::unique_ptr<RolloutReporter> rollout_reporter_;
  std::unique_ptr<RolloutCoordinator> rollout_coordinator_;
  std::map<ClientCallId, HttpExchangePtr> exchanges_;
  std::uint64_t next_client_ = 1;
  std::atomic<bool> is_ready_ = false;
  GracefulStop stop_{settings_.stop_grace};
  // Time of the latest arrival of a request or end of a response.
  TimePoint last_active_{};
  TimePoint next_tick_{};
  TimePoint next_metrics_{};
  ConfigVersion cold_limits_version_ = kNoConfig;
  size_t cold_limits_members_ = 0;
  std::unique_ptr<DatagramSocket> peers_socket_;
  std::unique_ptr<RequestIntake> intake_;
  std::unique_ptr<HttpServer> clients_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<TelemetryThread> telemetry_;
  std::thread thread_;
};

}  // namespace carawayrelay

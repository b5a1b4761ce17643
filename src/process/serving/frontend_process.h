#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "process/forward/online_forwarder.h"
#include "process/jobs/job_api.h"
#include "process/limits/allowances.h"
#include "process/limits/demand_reports.h"
#include "process/serving/serving_core.h"
#include "process/serving/serving_settings.h"
#include "process/telemetry/request_observed.h"
#include "process/telemetry/telemetry_thread.h"

namespace carawayrelay {

// The frontend role: an HTTP server for clients, one for readiness and
// metrics, the thread that makes calls, and the thread that decides.
class FrontendProcess {
 public:
  // Binds the addresses and starts the threads. Fails with kInvalid,
  // kUnavailable or kInternal.
  static Result<std::unique_ptr<FrontendProcess>> Make(
      FrontendSettings settings,
      std::uint64_t seed);
  ~FrontendProcess();

  // Graceful shutdown: not ready any more, serves what still comes, and stops
  // once clients have left or the grace is nearly over.
  void Drain();
  // Notes that the settings may have changed; addresses stay as they are.
  void Reload();

 private:
  FrontendProcess(FrontendSettings settings, std::uint64_t seed);

  Result<void> Start();
  void Run();
  void Take(ServingEvent event, TimePoint now);
  void TakeRequest(HttpArrived arrived, TimePoint now);
  void TakeJobCall(ClientCallId client,
                   const HttpRequest& request,
                   platform::JobCall call,
                   const ServingRoute& route,
                   TimePoint now);
  void TakeCall(ClientCall call, TimePoint now);
  // The refusal of everything while the configuration is missing or too old.
  std::optional<Refusal> RefusalForAll(TimePoint now) const;
  void Answer(ClientCallId client, ClientResponseEvent answer);
  void Refuse(ClientCallId client,
              const std::string& request_id,
              Refusal refusal);
  void Tick(TimePoint now);
  // Hands changed limits of cold backend servers on.
  void SetColdLimits();
  void UpdateReadiness(TimePoint now);
  bool IsDrained(TimePoint now) const;
  void UpdateMetrics(TimePoint now);
  // The refusal of a request that is over the limits of the configuration.
  std::optional<Refusal> RefusalForSize(const HttpRequest& request) const;
  void Observe(const RequestObserved& observed);
  void HandleReady(const HttpRequest& request, const HttpExchangePtr& exchange);

  FrontendSettings settings_;
  std::uint64_t seed_;
  std::unique_ptr<ServingCore> core_;
  Allowances allowances_;
  std::unique_ptr<OnlineForwarder> forwarder_;
  std::unique_ptr<DemandReports> demand_reports_;
  std::unique_ptr<JobApi> job_api_;
  std::map<ClientCallId, HttpExchangePtr> exchanges_;
  std::uint64_t next_client_ = 1;
  std::atomic<bool> is_ready_ = false;
  std::optional<TimePoint> draining_since_;
  // The newest arrival of a request or end of an answer.
  TimePoint last_active_{};
  TimePoint next_tick_{};
  TimePoint next_metrics_{};
  ConfigVersion cold_limits_version_ = kNoConfig;
  size_t cold_limits_members_ = 0;
  std::unique_ptr<HttpServer> clients_server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::unique_ptr<TelemetryThread> telemetry_;
  std::thread thread_;
};

}  // namespace carawayrelay

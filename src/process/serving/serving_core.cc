#include "process/serving/serving_core.h"

#include <utility>

#include "platform/desired_state.h"
#include "process/serving/serving_metrics.h"
#include "process/telemetry/decision_log.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWatchWait{1000};
constexpr milliseconds kBackendsInterval{500};

}  // namespace

Result<std::unique_ptr<ServingCore>> ServingCore::Make(
    const Options& options,
    OperatorWatch::OnChange on_change) {
  std::unique_ptr<ServingCore> core(
      new ServingCore(options, std::move(on_change)));
  BOOST_OUTCOME_TRY(
      core->http_client_,
      AsyncHttpClient::Make({}, [raw = core.get()](CallEvent event) {
        std::visit(
            [raw](auto& e) { raw->events_.Push(ServingEvent(std::move(e))); },
            event);
      }));
  return core;
}

ServingCore::ServingCore(const Options& options,
                         OperatorWatch::OnChange on_change)
    : request_memory_(RequestMemoryBudget::Make(options.request_memory_bytes)),
      events_(kEventCapacity, kMaxEventBytes, &SizeOf),
      calls_(
          [this](OutboundCall call) {
            return http_client_->Start(std::move(call));
          },
          [this](OutboundCallId id) { http_client_->Cancel(id); }),
      store_(options.store_address, calls_, clock_),
      transfers_({.seed = options.seed}, store_.sender(), clock_),
      backends_(options.seed),
      crash_reports_(options.node, quarantine_, store_, clock_),
      trials_(options.node, quarantine_, store_, clock_),
      writer_(jobs_, store_.sender(), clock_),
      operators_(store_.sender(),
                 clock_,
                 options.operators_wait,
                 [this, on_change = std::move(on_change)](TimePoint now) {
                   backends_.SetEvacuated(operators_.evacuated_zones());
                   on_change(now);
                 }),
      backend_watch_({.table = platform::kBackendsTable,
                      .wait = kWatchWait,
                      .min_interval = kBackendsInterval},
                     store_.sender(),
                     clock_,
                     [this](const std::vector<StoredRow>& rows,
                            bool is_full,
                            TimePoint now) {
                       backends_.Apply(rows, is_full,
                                       backend_watch_.reconnected_at(), now);
                     }),
      job_watch_(
          {.table = job_rows::kStates,
           .parts = job_rows::Parts(),
           .wait = kWatchWait,
           .min_interval = options.jobs_interval},
          store_.sender(),
          clock_,
          [this](const std::vector<StoredRow>& rows, bool is_full, TimePoint) {
            jobs_.Apply(rows, is_full);
          }) {
  if (options.rollout) {
    rollouts_ = std::make_unique<RolloutFollower>(
        *options.rollout, options.rollout_role, options.seed, operators_,
        backends_, store_, clock_);
  }
  store_.SetObserver(
      [this](const char* kind, StoreStatus status, Duration took) {
        metrics_.Count(serving_metrics::kStoreCalls,
                       {{"call", kind}, {"status", ToString(status)}});
        metrics_.ObserveDuration(serving_metrics::kStoreCallDuration,
                                 {{"call", kind}}, took);
      });
}

void ServingCore::UpdateMetrics(TimePoint now) {
  namespace names = serving_metrics;
  const BackendDirectory::Counts backends = backends_.CountStates(now);
  const auto set_backends = [&](const char* state, int count) {
    metrics_.SetGauge(names::kBackends, {{"state", state}}, count);
  };
  set_backends("usable", backends.usable);
  set_backends("draining", backends.draining);
  set_backends("leaving", backends.leaving);
  set_backends("replaced", backends.replaced);
  set_backends("lapsed", backends.lapsed);
  set_backends("avoided", backends.avoided);
  set_backends("cold", backends.cold);
  set_backends("slow_start", backends.slow_start);
  set_backends("with_pace", backends.with_pace);
  const auto set = [&](const MetricDescriptor& metric, double value) {
    metrics_.SetGauge(metric, {}, value);
  };
  set(names::kJobs, static_cast<double>(jobs_.jobs().size()));
  set(names::kQuarantinedParts, static_cast<double>(quarantine_.size()));
  set(names::kCallsRunning, static_cast<double>(calls_.size()));
  if (operators_.config()) {
    set(names::kConfigVersion,
        static_cast<double>(operators_.config()->version()));
  }
  if (const auto age = operators_.Age(now)) {
    set(names::kConfigAge, std::chrono::duration<double>(*age).count());
  }
  if (rollouts_) {
    UpdateRolloutMetrics();
  }
  metrics_.SetGauge(names::kRingLength, {{"ring", "events"}},
                    static_cast<double>(events_.size()));
  metrics_.SetCounter(names::kLogLinesDropped, {}, DroppedLogLines());
  UpdateRequestMemory();
}

void ServingCore::UpdateRequestMemory() {
  const RequestMemoryBudget::Counters c = request_memory_->counters();
  SetRequestMemoryMetrics(metrics_, c);
  if (c.refused_requests != logged_.refused_requests ||
      c.closed_connections != logged_.closed_connections ||
      c.rejected_requests != logged_.rejected_requests) {
    LogDecision(LogEvent::kInputLimited, "held_bytes", c.held_bytes, "memory",
                c.refused_requests - logged_.refused_requests, "connections",
                c.closed_connections - logged_.closed_connections, "request",
                c.rejected_requests - logged_.rejected_requests);
  }
  logged_ = c;
}

void ServingCore::UpdateRolloutMetrics() {
  namespace names = serving_metrics;
  for (const auto& [service, versions] : rollouts_->services()) {
    if (!versions.row) {
      continue;
    }
    metrics_.SetGauge(names::kRolloutStep, {{"service", service}},
                      static_cast<double>(versions.row->step));
    metrics_.SetGauge(names::kRolloutRequests,
                      {{"service", service}, {"kind", "all"}},
                      static_cast<double>(versions.share.total()));
    metrics_.SetGauge(names::kRolloutRequests,
                      {{"service", service}, {"kind", "new"}},
                      static_cast<double>(versions.share.canary()));
  }
}

void ServingCore::Deliver(CallEvent event) {
  calls_.Deliver(event);
}

void ServingCore::Tick(TimePoint now) {
  calls_.DeliverStartFailures();
  operators_.Tick(now);
  backend_watch_.Tick(now);
  backends_.Tick(now);
  if (rollouts_) {
    rollouts_->Tick(now);
  }
  job_watch_.Tick(now);
  transfers_.Tick(now);
  jobs_.SetUpToDateAt(job_watch_.up_to_date_at());
  writer_.Tick(now);
}

void ServingCore::ExchangeCrashReports(TimePoint now) {
  crash_reports_.Tick(now);
}

void ServingCore::Stop() {
  events_.Close();
  if (http_client_) {
    http_client_->Stop();
  }
}

}  // namespace carawayrelay

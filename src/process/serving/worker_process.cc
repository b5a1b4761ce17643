#include "process/serving/worker_process.h"

#include <utility>

#include "process/serving/run_step.h"
#include "process/serving/serving_metrics.h"
#include "process/telemetry/decision_log.h"
#include "request/overloaded.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// While items are claimed; short, so that runs yield to online requests
// quickly.
constexpr milliseconds kRunningTickInterval{20};
// While no item is claimed but items of an open job may be waiting.
constexpr milliseconds kWaitingTickInterval{50};
constexpr milliseconds kIdleTickInterval{200};
constexpr milliseconds kMetricsInterval{1000};
constexpr milliseconds kJobsInterval{400};
// A worker uses the operators' rows for routes and zones only, where a delay of
// seconds is acceptable.
constexpr milliseconds kOperatorsWait{2500};
// Part of the stop grace period that is reserved for ending the threads.
constexpr milliseconds kShutdownReserve{1000};
constexpr const char* kMetricsType = "text/plain; version=0.0.4";

}  // namespace

Result<std::unique_ptr<WorkerProcess>> WorkerProcess::Make(
    WorkerSettings settings,
    std::uint64_t seed) {
  std::unique_ptr<WorkerProcess> process(
      new WorkerProcess(std::move(settings), seed));
  BOOST_OUTCOME_TRY(process->Start());
  return process;
}

WorkerProcess::WorkerProcess(WorkerSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), seed_(seed) {}

WorkerProcess::~WorkerProcess() {
  if (core_) {
    core_->events().Close();
  }
  if (thread_.joinable()) {
    thread_.join();
  }
  if (metrics_server_) {
    metrics_server_->Stop();
  }
  if (core_) {
    core_->Stop();
  }
}

Result<void> WorkerProcess::Start() {
  BOOST_OUTCOME_TRY(
      core_,
      ServingCore::Make({.node = settings_.node,
                         .store_address = settings_.store_address,
                         .seed = seed_,
                         .operators_wait = kOperatorsWait,
                         .jobs_interval = kJobsInterval,
                         .request_memory_bytes = settings_.memory.request_bytes,
                         .rollout = settings_.rollout,
                         .rollout_role = RolloutRole::kWorker},
                        [this](TimePoint) {
                          worker_->SetConfig(core_->operators().config());
                        }));
  worker_ = std::make_unique<ItemWorker>(
      ItemWorker::Options{.node = settings_.node,
                          .backend_address = settings_.backend_address,
                          .reserved_slots = settings_.reserved_slots,
                          .seed = seed_},
      core_->jobs(), core_->writer(), core_->store(), core_->transfers(),
      core_->backends(), core_->quarantine(), core_->trials(), core_->calls(),
      core_->clock());
  if (!settings_.listen_metrics.empty()) {
    BOOST_OUTCOME_TRY(
        metrics_server_,
        HttpServer::Make(
            MonitoringServerOptions(settings_.listen_metrics,
                                    core_->request_memory()),
            [this](const HttpRequest&, const HttpExchangePtr& exchange) {
              exchange->Respond(200, {{"Content-Type", kMetricsType}},
                                core_->metrics().ToPrometheusText());
            }));
  }
  thread_ = std::thread([this] { Run(); });
  LogDecision(LogEvent::kServingStarted, "role", "worker", "zone",
              settings_.zone, "runner", settings_.backend_address, "store",
              settings_.store_address);
  return Success();
}

void WorkerProcess::Run() {
  TimePoint next_tick{};
  while (true) {
    const TimePoint now = core_->BeginIteration();
    RunStep([&] { core_->Tick(now); });
    if (now >= next_tick) {
      next_tick = now + TickInterval();
      RunStep([&] {
        if (worker_->HasOpenJob()) {
          core_->ExchangeCrashReports(now);
        }
        worker_->Tick(now);
        // Sends the job changes that the worker added.
        core_->Tick(now);
        UpdateMetrics(now);
      });
    }
    if (IsDrained(now) || core_->events().IsClosed()) {
      return;
    }
    if (auto event = core_->events().PopUntil(next_tick)) {
      const TimePoint event_time = core_->BeginIteration();
      RunStep([&] { HandleEvent(*std::move(event), event_time); });
    }
  }
}

milliseconds WorkerProcess::TickInterval() const {
  if (!worker_->IsIdle()) {
    return kRunningTickInterval;
  }
  return worker_->HasOpenJob() ? kWaitingTickInterval : kIdleTickInterval;
}

void WorkerProcess::HandleEvent(ServingEvent event, TimePoint now) {
  std::visit(Overloaded{
                 [](HttpRequestArrived&) {},
                 [](Datagram&) {},
                 [&](ShutdownRequested&) {
                   draining_since_ = now;
                   LogDecision(LogEvent::kServingStopping, "active",
                               core_->calls().size());
                   worker_->Stop(now);
                 },
                 [](ReloadRequested&) {
                   LogDecision(LogEvent::kServingReloaded, "changed", false);
                 },
                 [&](auto& call) { core_->Deliver(std::move(call)); },
             },
             event);
}

bool WorkerProcess::IsDrained(TimePoint now) const {
  return draining_since_ &&
         (worker_->IsIdle() ||
          now - *draining_since_ >= settings_.stop_grace - kShutdownReserve);
}

void WorkerProcess::UpdateMetrics(TimePoint now) {
  if (now < next_metrics_) {
    return;
  }
  next_metrics_ = now + kMetricsInterval;
  const ItemWorker::Counters& c = worker_->counters();
  const auto count = [&](const char* event, std::uint64_t value) {
    core_->metrics().SetCounter(serving_metrics::kItemEvents,
                                {{"event", event}}, value);
  };
  count("completed", c.completed);
  count("given_up", c.given_up);
  count("yielded", c.yielded);
  count("released", c.released);
  count("held", c.held);
  core_->UpdateMetrics(now);
}

void WorkerProcess::Drain() {
  core_->events().Push(ServingEvent(ShutdownRequested{}));
  thread_.join();
  LogDecision(LogEvent::kServingStopped, "role", "worker");
}

void WorkerProcess::Reload() {
  core_->events().Push(ServingEvent(ReloadRequested{}));
}

}  // namespace carawayrelay

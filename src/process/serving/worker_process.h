#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "process/jobs/item_worker.h"
#include "process/serving/serving_core.h"
#include "process/serving/serving_settings.h"

namespace carawayrelay {

// The worker role: the HTTP client thread and the event loop thread, which
// decides which batch items run on the backend server of this VM.
class WorkerProcess {
 public:
  // Starts the threads. Fails with kInvalid, kUnavailable or kInternal.
  static Result<std::unique_ptr<WorkerProcess>> Make(WorkerSettings settings,
                                                     std::uint64_t seed);
  ~WorkerProcess();

  // Shuts down gracefully: stops running items, releases them to other workers,
  // and blocks until the event loop thread has ended.
  void Drain();
  // Logs a reload request. Settings are read at start only.
  void Reload();

 private:
  WorkerProcess(WorkerSettings settings, std::uint64_t seed);

  Result<void> Start();
  void Run();
  void HandleEvent(ServingEvent event, TimePoint now);
  bool IsDrained(TimePoint now) const;
  std::chrono::milliseconds TickInterval() const;
  void UpdateMetrics(TimePoint now);

  WorkerSettings settings_;
  std::uint64_t seed_;
  std::unique_ptr<ServingCore> core_;
  std::unique_ptr<ItemWorker> worker_;
  std::optional<TimePoint> draining_since_;
  std::unique_ptr<HttpServer> metrics_server_;
  TimePoint next_metrics_{};
  std::thread thread_;
};

}  // namespace carawayrelay

#pragma once

#include <memory>
#include <optional>
#include <string>

#include "process/forward/backend_directory.h"
#include "process/jobs/job_table.h"
#include "process/jobs/job_writer.h"
#include "process/quarantine/crash_report_exchange.h"
#include "process/quarantine/prompt_quarantine.h"
#include "process/quarantine/prompt_trials.h"
#include "process/rollout/rollout_follower.h"
#include "process/serving/event_loop_clock.h"
#include "process/serving/serving_event.h"
#include "process/store/operator_watch.h"
#include "process/store/store_client.h"
#include "process/store/store_transfer_queue.h"
#include "process/store/table_watch.h"
#include "process/telemetry/metrics.h"
#include "process/transport/async_http_client.h"
#include "process/transport/outbound_calls.h"
#include "process/transport/request_memory_budget.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// Shared by both serving roles: the event ring of the event loop thread, the
// HTTP client thread for outbound calls, and the state read from the store. All
// methods except events() and metrics() are called on the event loop thread, or
// while it does not run.
class ServingCore {
 public:
  struct Options {
    std::string node;  // name of this process
    std::string store_address;
    std::uint64_t seed = 1;
    // Longest time that the store delays the response to a watch call for
    // changes of operators' rows.
    std::chrono::milliseconds operators_wait{1000};
    // Minimum time between two reads of changes to batch jobs.
    std::chrono::milliseconds jobs_interval{500};
    // Memory of all requests of clients.
    size_t request_memory_bytes = size_t{256} << 20;
    // Not set: there are no rollouts.
    std::optional<RolloutSettings> rollout;
    RolloutRole rollout_role = RolloutRole::kFrontend;
  };

  // Fails with kInternal if the HTTP client thread cannot be started.
  static Result<std::unique_ptr<ServingCore>> Make(
      const Options& options,
      OperatorWatch::OnChange on_change);

  Ring<ServingEvent>& events() { return events_; }
  // Sets the clock for a new iteration of the event loop and returns its time.
  TimePoint BeginIteration() {
    clock_.Set(BootClock::now());
    return clock_.now();
  }
  const EventLoopClock& clock() const { return clock_; }
  OutboundCalls& calls() { return calls_; }
  StoreClient& store() { return store_; }
  StoreTransferQueue& transfers() { return transfers_; }
  OperatorWatch& operators() { return operators_; }
  BackendDirectory& backends() { return backends_; }
  PromptQuarantine& quarantine() { return quarantine_; }
  PromptTrials& trials() { return trials_; }
  JobTable& jobs() { return jobs_; }
  JobWriter& writer() { return writer_; }
  // Returns nullptr if there are no rollouts.
  RolloutFollower* rollouts() { return rollouts_.get(); }
  // Passes an event of an outbound call to the handler of that call.
  void Deliver(CallEvent event);
  // Continues the watches of the store and runs periodic work that is due.
  void Tick(TimePoint now);
  // Tells the other processes of crashes and reads theirs. Frontends call this
  // in each iteration of the event loop, workers while a job is open.
  void ExchangeCrashReports(TimePoint now);
  // Stops the HTTP client thread.
  void Stop();
  Metrics& metrics() { return metrics_; }
  // For the HTTP servers of the process.
  const std::shared_ptr<RequestMemoryBudget>& request_memory() const {
    return request_memory_;
  }
  // Updates the metrics that both roles export.
  void UpdateMetrics(TimePoint now);

 private:
  void UpdateRolloutMetrics();
  ServingCore(const Options& options, OperatorWatch::OnChange on_change);

  static constexpr size_t kEventCapacity = 4096;
  // Bytes of bodies in the events that wait. When they are reached, the HTTP
  // client stops reading, and requests of clients are refused.
  static constexpr size_t kMaxEventBytes = size_t{8} << 20;

  // Sets the metrics of the request memory, and logs what was refused since the
  // last call.
  void UpdateRequestMemory();

  Metrics metrics_;
  std::shared_ptr<RequestMemoryBudget> request_memory_;
  RequestMemoryBudget::Counters logged_;
  Ring<ServingEvent> events_;
  EventLoopClock clock_;
  std::unique_ptr<AsyncHttpClient> http_client_;
  OutboundCalls calls_;
  StoreClient store_;
  StoreTransferQueue transfers_;
  BackendDirectory backends_;
  PromptQuarantine quarantine_;
  CrashReportExchange crash_reports_;
  PromptTrials trials_;
  JobTable jobs_;
  JobWriter writer_;
  OperatorWatch operators_;
  TableWatch backend_watch_;
  TableWatch job_watch_;
  std::unique_ptr<RolloutFollower> rollouts_;
};

}  // namespace carawayrelay

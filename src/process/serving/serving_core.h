#pragma once

#include <memory>
#include <string>

#include "process/forward/runner_directory.h"
#include "process/jobs/job_table.h"
#include "process/jobs/job_writer.h"
#include "process/serving/event_loop_clock.h"
#include "process/serving/serving_event.h"
#include "process/store/operator_watch.h"
#include "process/store/store_client.h"
#include "process/store/table_watch.h"
#include "process/telemetry/metrics.h"
#include "process/transport/http_caller.h"
#include "process/transport/outbound_calls.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// What both serving roles have: the ring of the deciding thread, the thread
// that makes calls, and what the process knows from the store.
class ServingCore {
 public:
  struct Options {
    std::string store_address;
    std::uint64_t seed = 1;
    // How long the store holds a call for changes of operators' rows.
    std::chrono::milliseconds operators_wait{1000};
    // Least time between two reads of changes to batch jobs.
    std::chrono::milliseconds jobs_interval{500};
  };

  // Fails with kInternal when the calling thread cannot be set up.
  static Result<std::unique_ptr<ServingCore>> Make(
      const Options& options,
      OperatorWatch::OnChange on_change);

  Ring<ServingEvent>& events() { return events_; }
  // The deciding thread begins a step.
  TimePoint BeginIteration() {
    clock_.Set(BootClock::now());
    return clock_.now();
  }
  const EventLoopClock& clock() const { return clock_; }
  OutboundCalls& calls() { return calls_; }
  StoreClient& store() { return store_; }
  OperatorWatch& operators() { return operators_; }
  RunnerDirectory& backends() { return backends_; }
  JobTable& jobs() { return jobs_; }
  JobWriter& writer() { return writer_; }
  // Whether the known jobs are at most `age` old.
  bool AreJobsCurrent(std::chrono::milliseconds age, TimePoint now) const;

  // Hands the event of a call to whoever made it.
  void Deliver(CallEvent event);
  // Keeps the watches running and repeats what is due.
  void Tick(TimePoint now);
  // Stops the calling thread.
  void Stop();
  Metrics& metrics() { return metrics_; }
  // Brings the metrics of what both roles have up to date.
  void UpdateMetrics(TimePoint now);

 private:
  ServingCore(const Options& options, OperatorWatch::OnChange on_change);

  static constexpr size_t kEventCapacity = 4096;

  Metrics metrics_;
  Ring<ServingEvent> events_;
  EventLoopClock clock_;
  std::unique_ptr<HttpCaller> http_client_;
  OutboundCalls calls_;
  StoreClient store_;
  RunnerDirectory backends_;
  JobTable jobs_;
  JobWriter writer_;
  OperatorWatch operators_;
  TableWatch backend_watch_;
  TableWatch job_watch_;
};

}  // namespace carawayrelay

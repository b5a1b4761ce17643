#pragma once

#include <string>
#include <utility>

#include "process/limits/allowances.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_client.h"

namespace carawayrelay {

// Writes the demand report of this frontend to the store and reads the reports
// of all frontends, so that they agree on their shares of the rates. Used on
// the event loop thread.
class DemandReporter {
 public:
  // The referenced objects must outlive this one.
  DemandReporter(std::string node,
                 Allowances& allowances,
                 StoreClient& store,
                 const EventLoopClock& clock)
      : node_(std::move(node)),
        allowances_(allowances),
        store_(store),
        clock_(clock) {}

  // Writes the report if it is due. Must be called more often than
  // Allowances::kReportInterval.
  void Tick(TimePoint now);

 private:
  void Read();
  void RemoveStaleReports(TimePoint now);

  const std::string node_;
  Allowances& allowances_;
  StoreClient& store_;
  const EventLoopClock& clock_;
  TimePoint next_report_at_{};
  bool is_call_in_flight_ = false;
};

}  // namespace carawayrelay

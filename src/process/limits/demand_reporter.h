#pragma once

#include <string>
#include <utility>

#include "process/limits/allowances.h"
#include "process/serving/event_loop_clock.h"
#include "process/store/store_client.h"

namespace carawayrelay {

// Keeps the demand report of this entry in the store and reads those of the
// others, so that all entries agree on their shares of the rates.
class DemandReporter {
 public:
  // The references must outlive the object.
  DemandReporter(std::string node,
                 Allowances& allowances,
                 StoreClient& store,
                 const EventLoopClock& clock)
      : node_(std::move(node)),
        allowances_(allowances),
        store_(store),
        clock_(clock) {}

  // Writes the report when it is due. Call it often.
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

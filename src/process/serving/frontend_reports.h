#pragma once

#include <string>
#include <utility>

#include "process/forward/runner_directory.h"
#include "process/limits/allowances.h"
#include "process/serving/step_clock.h"
#include "process/store/store_client.h"

namespace carawayrelay {

// Keeps the reports of this frontend in the store and reads those of the
// others: demand, from which all agree on their shares of the rates, and the
// failures of backend servers that each has seen.
class FrontendReports {
 public:
  // The references must outlive the object.
  FrontendReports(std::string node,
                  Allowances& allowances,
                  RunnerDirectory& runners,
                  StoreClient& store,
                  const StepClock& clock)
      : node_(std::move(node)),
        allowances_(allowances),
        runners_(runners),
        store_(store),
        clock_(clock) {}

  // Writes the reports when they are due. Call it often.
  void Tick(TimePoint now);

 private:
  void Read();
  void Apply(const std::vector<StoredRow>& rows);
  void RemoveAbandoned(TimePoint now);

  const std::string node_;
  Allowances& allowances_;
  RunnerDirectory& runners_;
  StoreClient& store_;
  const StepClock& clock_;
  TimePoint next_{};
  bool is_running_ = false;
  // Whether the store holds evidence of this frontend.
  bool has_evidence_ = false;
};

}  // namespace carawayrelay

#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "process/forward/backend_directory.h"
#include "process/health/health_report_exchange.h"
#include "process/health/outlier_detector.h"
#include "process/limits/rate_members.h"
#include "process/telemetry/metrics.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// The shared health of the backend servers in one frontend: feeds the detector,
// exchanges reports and tells the directory what to prefer. Used on the event
// loop thread.
class SharedHealth {
 public:
  // Registers itself with `backends`. The referenced objects must outlive this
  // one, which must outlive the use of `backends` for choices.
  SharedHealth(std::string node,
               std::uint64_t seed,
               BackendDirectory& backends,
               const RateMembers& members,
               HealthReportExchange::SendDatagram send);

  // Must be called in each iteration of the event loop.
  void Tick(TimePoint now);
  OutlierDetector& detector() { return detector_; }
  HealthReportExchange& exchange() { return exchange_; }
  void UpdateMetrics(Metrics& metrics) const;

 private:
  double PenaltyOf(const BackendDirectory::Backend& backend,
                   const BackendDirectory::Query& query,
                   TimePoint now);
  // Passes the backend servers and the other frontends on.
  void Synchronize(TimePoint now);

  BackendDirectory& backends_;
  const RateMembers& members_;
  std::mt19937_64 random_;
  OutlierDetector detector_;
  HealthReportExchange exchange_;
  std::vector<OutlierDetector::Server> servers_;  // as the detector knows them
  TimePoint next_synchronize_{};
};

}  // namespace carawayrelay

#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Collects latencies and computes quantiles.
class LatencySummary {
 public:
  void Add(Duration latency) { latencies_.push_back(latency); }
  size_t count() const { return latencies_.size(); }
  // The smallest recorded latency that at least `fraction` of the latencies do
  // not exceed; zero when there are no latencies.
  Duration Quantile(double fraction) const;
  // Format: "p50 12.3 ms, p95 20.1 ms, p99 31.0 ms".
  std::string ToText() const;

 private:
  std::vector<Duration> latencies_;
};

}  // namespace carawayrelay::tools

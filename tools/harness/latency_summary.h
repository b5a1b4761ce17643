#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Latencies of many calls.
class LatencySummary {
 public:
  void Add(Duration latency) { latencies_.push_back(latency); }
  size_t count() const { return latencies_.size(); }
  // The smallest latency that at least `fraction` of all do not exceed; zero
  // when there are none.
  Duration Quantile(double fraction) const;
  // "p50 12.3 ms, p95 20.1 ms, p99 31.0 ms".
  std::string ToText() const;

 private:
  std::vector<Duration> latencies_;
};

}  // namespace carawayrelay::tools

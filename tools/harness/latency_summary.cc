#include "harness/latency_summary.h"

#include <spdlog/fmt/fmt.h>
#include <algorithm>
#include <cmath>

namespace carawayrelay::tools {

Duration LatencySummary::Quantile(double fraction) const {
  if (latencies_.empty()) {
    return Duration::zero();
  }
  const auto rank = static_cast<size_t>(
      std::ceil(fraction * static_cast<double>(latencies_.size())));
  std::vector<Duration> sorted = latencies_;
  const size_t index = std::clamp<size_t>(rank, 1, sorted.size()) - 1;
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

std::string LatencySummary::ToText() const {
  const auto milliseconds = [&](double fraction) {
    return std::chrono::duration<double, std::milli>(Quantile(fraction))
        .count();
  };
  return fmt::format("p50 {:.1f} ms, p95 {:.1f} ms, p99 {:.1f} ms",
                     milliseconds(0.5), milliseconds(0.95), milliseconds(0.99));
}

}  // namespace carawayrelay::tools

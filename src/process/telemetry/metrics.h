#pragma once

#include <boost/histogram.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>

#include "process/dispatch/dispatch_event.h"

namespace carawayrelay {

// Counters, latency distributions and gauges of one process. For any number of
// threads.
class Metrics {
 public:
  // Adds one finished request.
  void Observe(const RequestObserved& observed);

  // `name` is a metric name of the Prometheus format, without labels.
  void SetGauge(const std::string& name, double value);

  // All metrics in the Prometheus text exposition format, version 0.0.4.
  std::string ToPrometheusText() const;

 private:
  using Seconds = std::chrono::duration<double>;
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram_with(
      boost::histogram::dense_storage<std::uint64_t>(),
      std::declval<Axis>()));

  struct Latency {
    Latency();
    void Add(Duration value);

    Histogram counts;
    Seconds sum{0};
  };
  // Keyed by route.
  using Latencies = std::map<std::string, Latency>;

  static void PrintLatencies(const std::string& name,
                             const std::string& help,
                             const Latencies& latencies,
                             std::string& text);

  mutable std::mutex mutex_;
  // Keyed by workspace, route and outcome.
  std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t>
      requests_;
  Latencies total_;
  Latencies first_part_;
  std::map<std::string, double> gauges_;
};

}  // namespace carawayrelay

#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "process/telemetry/request_observed.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Name and help text of a metric in the Prometheus format.
struct MetricDescriptor {
  const char* name;
  const char* help;
};

// Counters, latency distributions and gauges of one process. For any number of
// threads.
class Metrics {
 public:
  // Names and values that tell the series of one metric apart.
  using Labels = std::vector<std::pair<std::string, std::string>>;

  // Adds one finished request.
  void Observe(const RequestObserved& observed);
  // Adds one value to a latency distribution.
  void ObserveDuration(const MetricDescriptor& metric,
                       const Labels& labels,
                       Duration value);
  void Count(const MetricDescriptor& metric, const Labels& labels);
  // Sets a counter that is kept elsewhere.
  void SetCounter(const MetricDescriptor& metric,
                  const Labels& labels,
                  std::uint64_t value);
  void SetGauge(const MetricDescriptor& metric,
                const Labels& labels,
                double value);
  // `name` is a metric name of the Prometheus format.
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
  // Series by the text of their labels.
  template <class Value>
  struct Family {
    std::string help;
    std::map<std::string, Value> series;
  };
  template <class Value>
  using Families = std::map<std::string, Family<Value>>;

  static std::string ToText(const Labels& labels);
  template <class Value>
  static Value& SeriesOf(Families<Value>& families,
                         const MetricDescriptor& metric,
                         const Labels& labels);
  template <class Value>
  static void Print(const char* type,
                    const Families<Value>& families,
                    std::string& text);
  static void PrintLatencies(const Families<Latency>& families,
                             std::string& text);

  mutable std::mutex mutex_;
  Families<std::uint64_t> counters_;
  Families<Latency> latencies_;
  Families<double> gauges_;
};

}  // namespace carawayrelay

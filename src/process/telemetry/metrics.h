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

// Counters, latency histograms and gauges of one process. Thread-safe.
class Metrics {
 public:
  // Label names and values, which identify one series of a metric.
  using Labels = std::vector<std::pair<std::string, std::string>>;

  // Counts a finished request and records its durations.
  void Observe(const RequestObserved& observed);
  // Adds one value to a latency histogram.
  void ObserveDuration(const MetricDescriptor& metric,
                       const Labels& labels,
                       Duration value);
  void Count(const MetricDescriptor& metric, const Labels& labels);
  // Sets a counter to a total that the caller of this function maintains.
  void SetCounter(const MetricDescriptor& metric,
                  const Labels& labels,
                  std::uint64_t value);
  void SetGauge(const MetricDescriptor& metric,
                const Labels& labels,
                double value);
  // Sets a gauge without labels. `name` is a valid Prometheus metric name.
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
  // All series of one metric. The key is the label text, such as
  // route="a",outcome="ok".
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

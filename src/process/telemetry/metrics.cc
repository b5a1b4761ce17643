#include "process/telemetry/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <iterator>
#include <string_view>

namespace carawayrelay {
namespace {

constexpr int kBucketCount = 24;
constexpr std::chrono::duration<double> kLowestBucketBound{0.0005};
constexpr std::chrono::duration<double> kHighestBucketBound{120.0};

constexpr MetricDescriptor kRequests{"carawayrelay_requests_total",
                                     "Finished requests."};
constexpr MetricDescriptor kRequestDuration{
    "carawayrelay_request_duration_seconds",
    "Time until a request was finished."};
constexpr MetricDescriptor kFirstPart{
    "carawayrelay_first_part_seconds",
    "Time until the first part of the answer."};
constexpr const char* kGaugeHelp = "Current value.";

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\n') {
      escaped += "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c;
  }
  return escaped;
}

// The labels in braces, or an empty string without labels.
std::string Braced(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

}  // namespace

Metrics::Latency::Latency()
    : counts(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<std::uint64_t>(),
          Axis(kBucketCount,
               kLowestBucketBound.count(),
               kHighestBucketBound.count()))) {}

void Metrics::Latency::Add(Duration value) {
  const Seconds seconds = value;
  counts(seconds.count());
  sum += seconds;
}

std::string Metrics::ToText(const Labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text +=
        (text.empty() ? "" : ",") + name + "=\"" + EscapeLabel(value) + "\"";
  }
  return text;
}

template <class Value>
Value& Metrics::SeriesOf(Families<Value>& families,
                         const MetricDescriptor& metric,
                         const Labels& labels) {
  Family<Value>& family = families[metric.name];
  if (family.help.empty()) {
    family.help = metric.help;
  }
  return family.series[ToText(labels)];
}

void Metrics::Observe(const RequestObserved& observed) {
  Count(kRequests,
        {{"workspace", observed.workspace},
         {"route", observed.route},
         {"outcome", observed.refused ? ToString(*observed.refused) : "ok"}});
  ObserveDuration(kRequestDuration, {{"route", observed.route}},
                  observed.total);
  if (observed.first_part) {
    ObserveDuration(kFirstPart, {{"route", observed.route}},
                    *observed.first_part);
  }
}

void Metrics::ObserveDuration(const MetricDescriptor& metric,
                              const Labels& labels,
                              Duration value) {
  std::lock_guard lock(mutex_);
  SeriesOf(latencies_, metric, labels).Add(value);
}

void Metrics::Count(const MetricDescriptor& metric, const Labels& labels) {
  std::lock_guard lock(mutex_);
  ++SeriesOf(counters_, metric, labels);
}

void Metrics::SetCounter(const MetricDescriptor& metric,
                         const Labels& labels,
                         std::uint64_t value) {
  std::lock_guard lock(mutex_);
  SeriesOf(counters_, metric, labels) = value;
}

void Metrics::SetGauge(const MetricDescriptor& metric,
                       const Labels& labels,
                       double value) {
  std::lock_guard lock(mutex_);
  SeriesOf(gauges_, metric, labels) = value;
}

void Metrics::SetGauge(const std::string& name, double value) {
  SetGauge({name.c_str(), kGaugeHelp}, {}, value);
}

std::string Metrics::ToPrometheusText() const {
  std::string text;
  std::lock_guard lock(mutex_);
  Print("counter", counters_, text);
  PrintLatencies(latencies_, text);
  Print("gauge", gauges_, text);
  return text;
}

template <class Value>
void Metrics::Print(const char* type,
                    const Families<Value>& families,
                    std::string& text) {
  auto out = std::back_inserter(text);
  for (const auto& [name, family] : families) {
    fmt::format_to(out, "# HELP {0} {1}\n# TYPE {0} {2}\n", name, family.help,
                   type);
    for (const auto& [labels, value] : family.series) {
      fmt::format_to(out, "{}{} {}\n", name, Braced(labels), value);
    }
  }
}

void Metrics::PrintLatencies(const Families<Latency>& families,
                             std::string& text) {
  auto out = std::back_inserter(text);
  for (const auto& [name, family] : families) {
    fmt::format_to(out, "# HELP {0} {1}\n# TYPE {0} histogram\n", name,
                   family.help);
    for (const auto& [labels, latency] : family.series) {
      const std::string prefix = labels.empty() ? "" : labels + ",";
      const Axis& axis = latency.counts.axis();
      // Bin -1 counts the values below the axis, bin size() those above it.
      std::uint64_t count = latency.counts.at(-1);
      fmt::format_to(out, "{}_bucket{{{}le=\"{:.6g}\"}} {}\n", name, prefix,
                     axis.value(0), count);
      for (int i = 0; i < axis.size(); ++i) {
        count += latency.counts.at(i);
        fmt::format_to(out, "{}_bucket{{{}le=\"{:.6g}\"}} {}\n", name, prefix,
                       axis.value(i + 1), count);
      }
      count += latency.counts.at(axis.size());
      fmt::format_to(out,
                     "{0}_bucket{{{1}le=\"+Inf\"}} {2}\n{0}_sum{3} {4}\n"
                     "{0}_count{3} {2}\n",
                     name, prefix, count, Braced(labels), latency.sum.count());
    }
  }
}

}  // namespace carawayrelay

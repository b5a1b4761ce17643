#include "process/telemetry/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <iterator>
#include <string_view>

namespace carawayrelay {
namespace {

constexpr int kBucketCount = 24;
constexpr std::chrono::duration<double> kShortest{0.0005};
constexpr std::chrono::duration<double> kLongest{120.0};

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

}  // namespace

Metrics::Latency::Latency()
    : counts(boost::histogram::make_histogram_with(
          boost::histogram::dense_storage<std::uint64_t>(),
          Axis(kBucketCount, kShortest.count(), kLongest.count()))) {}

void Metrics::Latency::Add(Duration value) {
  const Seconds seconds = value;
  counts(seconds.count());
  sum += seconds;
}

void Metrics::Observe(const RequestObserved& observed) {
  const std::string outcome =
      observed.refused ? ToString(*observed.refused) : "ok";
  std::lock_guard lock(mutex_);
  ++requests_[{observed.workspace, observed.route, outcome}];
  total_[observed.route].Add(observed.total);
  if (observed.first_part) {
    first_part_[observed.route].Add(*observed.first_part);
  }
}

void Metrics::SetGauge(const std::string& name, double value) {
  std::lock_guard lock(mutex_);
  gauges_[name] = value;
}

std::string Metrics::ToPrometheusText() const {
  std::string text;
  std::lock_guard lock(mutex_);
  text +=
      "# HELP carawayrelay_requests_total Finished requests.\n"
      "# TYPE carawayrelay_requests_total counter\n";
  for (const auto& [key, count] : requests_) {
    const auto& [workspace, route, outcome] = key;
    fmt::format_to(std::back_inserter(text),
                   "carawayrelay_requests_total{{workspace=\"{}\",route=\"{}\","
                   "outcome=\"{}\"}} {}\n",
                   EscapeLabel(workspace), EscapeLabel(route),
                   EscapeLabel(outcome), count);
  }
  PrintLatencies("carawayrelay_request_duration_seconds",
                 "Time until a request was finished.", total_, text);
  PrintLatencies("carawayrelay_first_part_seconds",
                 "Time until the first part of the answer.", first_part_, text);
  for (const auto& [name, value] : gauges_) {
    fmt::format_to(std::back_inserter(text),
                   "# HELP {0} Current value.\n# TYPE {0} gauge\n{0} {1}\n",
                   name, value);
  }
  return text;
}

void Metrics::PrintLatencies(const std::string& name,
                             const std::string& help,
                             const Latencies& latencies,
                             std::string& text) {
  auto out = std::back_inserter(text);
  fmt::format_to(out, "# HELP {0} {1}\n# TYPE {0} histogram\n", name, help);
  for (const auto& [route, latency] : latencies) {
    const std::string label = EscapeLabel(route);
    const Axis& axis = latency.counts.axis();
    // Index -1 holds the values below the axis, index size() those above it.
    std::uint64_t count = latency.counts.at(-1);
    fmt::format_to(out, "{}_bucket{{route=\"{}\",le=\"{:.6g}\"}} {}\n", name,
                   label, axis.value(0), count);
    for (int i = 0; i < axis.size(); ++i) {
      count += latency.counts.at(i);
      fmt::format_to(out, "{}_bucket{{route=\"{}\",le=\"{:.6g}\"}} {}\n", name,
                     label, axis.value(i + 1), count);
    }
    count += latency.counts.at(axis.size());
    fmt::format_to(out,
                   "{0}_bucket{{route=\"{1}\",le=\"+Inf\"}} {2}\n"
                   "{0}_sum{{route=\"{1}\"}} {3}\n"
                   "{0}_count{{route=\"{1}\"}} {2}\n",
                   name, label, count, latency.sum.count());
  }
}

}  // namespace carawayrelay

#include "process/telemetry/metrics.h"

#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "process/telemetry/telemetry_thread.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct MetricsFixture {
  Metrics metrics;

  bool HasLine(const std::string& line) const {
    return ("\n" + metrics.ToPrometheusText()).find("\n" + line + "\n") !=
           std::string::npos;
  }
};

// Guards against label values with quotes, backslashes or line breaks that make
// the output unreadable for a Prometheus scraper.
TEST_CASE_FIXTURE(MetricsFixture,
                  "Metrics, labels with special characters, are escaped") {
  metrics.Observe({.workspace = "a\"b\\c\nd", .route = "r"});
  metrics.Observe(
      {.workspace = "w", .route = "r", .refused = RefusalCode::kRateLimited});
  CHECK(HasLine("# TYPE carawayrelay_requests_total counter"));
  CHECK(
      HasLine("carawayrelay_requests_total{workspace=\"a\\\"b\\\\c\\nd\","
              "route=\"r\",outcome=\"ok\"} 1"));
  CHECK(
      HasLine("carawayrelay_requests_total{workspace=\"w\",route=\"r\","
              "outcome=\"rate_limited\"} 1"));
}

// Guards against buckets that are not cumulative, and against losing values
// outside the axis.
TEST_CASE_FIXTURE(MetricsFixture,
                  "Metrics, values below, on and above the axis, are counted") {
  for (const Duration total :
       {Duration(0), Duration(milliseconds(250)), Duration(seconds(200))}) {
    metrics.Observe({.workspace = "w", .route = "r", .total = total});
  }
  const std::string name = "carawayrelay_request_duration_seconds";
  CHECK(HasLine("# TYPE " + name + " histogram"));
  CHECK(HasLine(name + "_bucket{route=\"r\",le=\"0.0005\"} 1"));
  CHECK(HasLine(name + "_bucket{route=\"r\",le=\"120\"} 2"));
  CHECK(HasLine(name + "_bucket{route=\"r\",le=\"+Inf\"} 3"));
  CHECK(HasLine(name + "_sum{route=\"r\"} 200.25"));
  CHECK(HasLine(name + "_count{route=\"r\"} 3"));
  CHECK_FALSE(HasLine("carawayrelay_first_part_seconds_count{route=\"r\"} 3"));
}

// Guards against a gauge that keeps its first value or adds up.
TEST_CASE_FIXTURE(MetricsFixture,
                  "Metrics, gauge set twice, has the last value") {
  metrics.SetGauge("ring_size", 1);
  metrics.SetGauge("ring_size", 2.5);
  CHECK(HasLine("ring_size 2.5"));
}

// Guards against identifiers and times in a form that an OTLP collector
// rejects.
TEST_CASE_FIXTURE(MetricsFixture, "Span, batch of one, is valid OTLP JSON") {
  using Clock = std::chrono::system_clock;
  const Span span{.trace_id = {1, 2},
                  .span_id = 3,
                  .parent_id = 10,
                  .name = "attempt",
                  .start = Clock::time_point(seconds(5)),
                  .end = Clock::time_point(seconds(6)),
                  .attributes = {{"route", "r"}}};
  const auto document = nlohmann::json::parse(ToOtlpJson(
      {.service_name = "entry", .instance_id = "e1", .zone = "z"}, {span}));
  CHECK(document == nlohmann::json::parse(R"({"resourceSpans": [{
    "resource": {"attributes": [
      {"key": "service.name", "value": {"stringValue": "entry"}},
      {"key": "service.instance.id", "value": {"stringValue": "e1"}},
      {"key": "zone", "value": {"stringValue": "z"}}]},
    "scopeSpans": [{"scope": {"name": "carawayrelay"}, "spans": [{
      "traceId": "00000000000000010000000000000002",
      "spanId": "0000000000000003",
      "parentSpanId": "000000000000000a",
      "name": "attempt", "kind": 1,
      "startTimeUnixNano": "5000000000",
      "endTimeUnixNano": "6000000000",
      "attributes": [{"key": "route", "value": {"stringValue": "r"}}]}]}]}]})"));
}

}  // namespace
}  // namespace carawayrelay

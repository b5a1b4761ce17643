#include "process/telemetry/telemetry_thread.h"

#include <spdlog/fmt/fmt.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "process/telemetry/log.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr size_t kSpanRingCapacity = 4096;
constexpr size_t kMaxSpansPerBatch = 512;
constexpr std::chrono::seconds kExportInterval{1};
constexpr std::chrono::minutes kLogInterval{1};
constexpr int kSpanKindInternal = 1;

json Attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

// OTLP JSON carries 64-bit integers as strings.
std::string UnixNanos(std::chrono::system_clock::time_point time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                            time.time_since_epoch())
                            .count());
}

json ToJson(const Span& span) {
  json attributes = json::array();
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(Attribute(key, value));
  }
  json object = {{"traceId", fmt::format("{:016x}{:016x}", span.trace_id[0],
                                         span.trace_id[1])},
                 {"spanId", fmt::format("{:016x}", span.span_id)},
                 {"name", span.name},
                 {"kind", kSpanKindInternal},
                 {"startTimeUnixNano", UnixNanos(span.start)},
                 {"endTimeUnixNano", UnixNanos(span.end)},
                 {"attributes", std::move(attributes)}};
  if (span.parent_id != 0) {
    object["parentSpanId"] = fmt::format("{:016x}", span.parent_id);
  }
  return object;
}

}  // namespace

std::string ToOtlpJson(const SpanResource& resource,
                       const std::vector<Span>& spans) {
  json list = json::array();
  for (const Span& span : spans) {
    list.push_back(ToJson(span));
  }
  json attributes = json::array();
  attributes.push_back(Attribute("service.name", resource.service_name));
  attributes.push_back(Attribute("service.instance.id", resource.instance_id));
  attributes.push_back(Attribute("zone", resource.zone));
  json scope_spans = {{"scope", {{"name", "carawayrelay"}}},
                      {"spans", std::move(list)}};
  json resource_spans = {{"resource", {{"attributes", std::move(attributes)}}},
                         {"scopeSpans", json::array({std::move(scope_spans)})}};
  const json document = {
      {"resourceSpans", json::array({std::move(resource_spans)})}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<std::unique_ptr<TelemetryThread>> TelemetryThread::Make(
    Options options) {
  std::unique_ptr<HttpClient> client;
  if (!options.endpoint.empty()) {
    BOOST_OUTCOME_TRY(client, HttpClient::Make({.base_url = options.endpoint}));
  }
  return std::unique_ptr<TelemetryThread>(
      new TelemetryThread(std::move(options.resource), std::move(client)));
}

TelemetryThread::TelemetryThread(SpanResource resource,
                                 std::unique_ptr<HttpClient> client)
    : resource_(std::move(resource)),
      client_(std::move(client)),
      spans_(kSpanRingCapacity) {
  if (client_) {
    thread_ = std::thread([this] { Run(); });
  }
}

TelemetryThread::~TelemetryThread() {
  Stop();
}

bool TelemetryThread::TryPush(Span span) {
  if (client_ && spans_.TryPush(std::move(span))) {
    return true;
  }
  ++dropped_;
  return false;
}

void TelemetryThread::Stop() {
  spans_.Close();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void TelemetryThread::Run() {
  while (true) {
    const std::vector<Span> batch = NextBatch();
    const bool sent = batch.empty() || Export(batch);
    // After a failure during shutdown the remaining spans are dropped, because
    // each further batch could delay the exit by the request timeout.
    if (spans_.IsClosed() && (!sent || spans_.size() == 0)) {
      dropped_ += spans_.size();
      return;
    }
  }
}

std::vector<Span> TelemetryThread::NextBatch() {
  const TimePoint deadline = BootClock::now() + kExportInterval;
  std::vector<Span> batch;
  while (batch.size() < kMaxSpansPerBatch) {
    std::optional<Span> span = spans_.PopUntil(deadline);
    if (!span) {
      break;
    }
    batch.push_back(*std::move(span));
  }
  return batch;
}

bool TelemetryThread::Export(const std::vector<Span>& batch) {
  const Result<HttpResponse> response =
      client_->Send({.method = "POST",
                     .target = "/v1/traces",
                     .headers = {"Content-Type: application/json"},
                     .body = ToOtlpJson(resource_, batch)});
  if (response && response.value().status / 100 == 2) {
    return true;
  }
  ++failed_;
  dropped_ += batch.size();
  const TimePoint now = BootClock::now();
  if (!last_logged_ || now - *last_logged_ >= kLogInterval) {
    last_logged_ = now;
    LogWarning(
        LogEvent::kTraceExportFailed,
        "span export failed and the batch was dropped: {}; failed batches so "
        "far: {}",
        response ? fmt::format("status {}", response.value().status)
                 : response.error().message,
        failed_.load());
  }
  return false;
}

}  // namespace carawayrelay

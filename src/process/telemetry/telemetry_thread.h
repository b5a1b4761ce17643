#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "carawayrelay/request.h"
#include "process/telemetry/span.h"
#include "process/transport/http_client.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// Attributes that all spans of one process share.
struct SpanResource {
  std::string service_name;
  std::string instance_id;
  std::string zone;
};

// The body of an OTLP/HTTP export request, in JSON.
std::string ToOtlpJson(const SpanResource& resource,
                       const std::vector<Span>& spans);

// The `telemetry` thread: sends spans in batches to an OTLP collector. Spans of
// a batch that could not be sent are dropped.
class TelemetryThread {
 public:
  struct Options {
    SpanResource resource;
    // "http://IP:port" of the collector. When empty, no thread is started and
    // all spans are dropped.
    std::string endpoint;
  };

  // Fails with kInvalid when the endpoint is malformed.
  static Result<std::unique_ptr<TelemetryThread>> Make(Options options);
  ~TelemetryThread();

  // Any thread; never waits. Returns false when the span was dropped.
  bool TryPush(Span span);
  // Sends the queued spans until an export fails, and joins the thread.
  void Stop();

  // Number of spans dropped because the ring was full or closed, no endpoint
  // was set, or their batch failed.
  std::uint64_t dropped_spans() const { return dropped_; }
  std::uint64_t failed_batches() const { return failed_; }

 private:
  TelemetryThread(SpanResource resource, std::unique_ptr<HttpClient> client);

  void Run();
  std::vector<Span> NextBatch();
  bool Export(const std::vector<Span>& batch);

  SpanResource resource_;
  std::unique_ptr<HttpClient> client_;
  std::atomic<std::uint64_t> dropped_{0};
  std::atomic<std::uint64_t> failed_{0};
  std::optional<TimePoint> last_logged_;
  Ring<Span> spans_;
  std::thread thread_;
};

}  // namespace carawayrelay

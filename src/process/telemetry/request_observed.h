#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "process/telemetry/span.h"
#include "request/boot_clock.h"
#include "request/refusal.h"
#include "request/trace_context.h"

namespace carawayrelay {

// Data about a finished request, for metrics and traces.
struct RequestObserved {
  std::string workspace;
  std::string route;
  // Empty when the client received a complete response or disconnected.
  std::optional<RefusalCode> refused;
  int attempts = 0;
  Duration total{0};
  // Time until the first part of the response arrived; empty if none did.
  std::optional<Duration> first_part;
  // Span of the request in this process; empty when it is not traced.
  std::optional<TraceContext> span;
  // Span of the client that sent the request; 0 if there is none.
  std::uint64_t parent_span = 0;
};

// The span of a request that has just ended, or nullopt when the request is not
// sampled.
std::optional<Span> ToSpan(const RequestObserved& observed);

}  // namespace carawayrelay

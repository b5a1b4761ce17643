#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "process/telemetry/span.h"
#include "request/boot_clock.h"
#include "request/refusal.h"
#include "request/trace_context.h"

namespace carawayrelay {

// A finished request, for metrics and traces.
struct RequestObserved {
  std::string workspace;
  std::string route;
  // Empty when the caller got a whole answer or left.
  std::optional<RefusalCode> refused;
  int attempts = 0;
  Duration total{0};
  // Until the first part of the answer came.
  std::optional<Duration> first_part;
  // Span of the request in this entry and its parent, 0 for none.
  std::optional<TraceContext> span;
  std::uint64_t parent_span = 0;
};

// The span of a request that ended just now, or nothing when it is not
// sampled.
std::optional<Span> ToSpan(const RequestObserved& observed);

}  // namespace carawayrelay

#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "carawayrelay/request.h"
#include "process/agent/backend_call.h"
#include "process/telemetry/span.h"

namespace carawayrelay {

// Spans of the running calls of an agent, one for each sampled call.
class CallSpans {
 public:
  using Time = std::chrono::system_clock::time_point;

  explicit CallSpans(std::uint64_t seed) : rng_(seed) {}

  void Start(const BackendCall& call, Time now);
  // Returns the span of a call that ended; nothing for unsampled calls.
  std::optional<Span> Finish(const BackendEvent& event, Time now);

 private:
  std::mt19937_64 rng_;
  std::map<CallId, Span> open_;
};

}  // namespace carawayrelay

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

// Open trace spans of an agent, one for each running call that is sampled.
class CallSpans {
 public:
  using Time = std::chrono::system_clock::time_point;

  explicit CallSpans(std::uint64_t seed) : rng_(seed) {}

  // Opens the span of a call. Ignores calls that are not sampled.
  void Start(const BackendCall& call, Time now);
  // Returns the finished span when `event` ends a sampled call, else nothing.
  std::optional<Span> Finish(const BackendEvent& event, Time now);

 private:
  std::mt19937_64 rng_;
  std::map<CallId, Span> open_;
};

}  // namespace carawayrelay

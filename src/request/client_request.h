#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "request/boot_clock.h"
#include "request/ids.h"
#include "request/trace_context.h"

namespace carawayrelay {

// What the caller addressed: a model by its name, or a plain service.
enum class CallKind { kModel, kService };

// One request of a caller, free of the encoding it came in.
struct ClientRequest {
  RequestId id{0};
  // Empty when the caller sent none. Dropped once the key is checked.
  std::string bearer_token;
  CallKind kind = CallKind::kModel;
  std::string route;
  std::string method;
  // Target on the backend server, with the query.
  std::string path;
  std::string body;
  bool stream = false;
  std::string idempotency_key;
  std::optional<TraceContext> trace;
  // Hash of the start of the prompt; equal prefixes have equal hashes.
  std::uint64_t prefix_hash = 0;
  // Estimated work, in tokens of the prompt.
  double cost = 1;
  TimePoint arrived;
};

}  // namespace carawayrelay

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "request/boot_clock.h"
#include "request/ids.h"
#include "request/trace_context.h"

namespace carawayrelay {

// Whether the client addressed a model by its name or a plain service.
enum class CallKind { kModel, kService };

// A client request, independent of the encoding in which it was received.
struct ClientRequest {
  RequestId id{0};
  // Empty when the client sent none. Cleared once the key has been checked.
  std::string bearer_token;
  CallKind kind = CallKind::kModel;
  std::string route;
  std::string method;
  // Path and query of the request to the backend server.
  std::string path;
  std::string body;
  bool stream = false;
  std::string idempotency_key;
  std::optional<TraceContext> trace;
  // Hash of the start of the prompt. Equal prefixes have equal hashes.
  std::uint64_t prefix_hash = 0;
  // Estimated work, in prompt tokens.
  double cost = 1;
  TimePoint arrived;
};

}  // namespace carawayrelay

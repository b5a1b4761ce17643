#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "request/client_call.h"
#include "request/refusal.h"

namespace carawayrelay {

// When a client should retry a call about a batch job after a refusal.
inline constexpr std::chrono::milliseconds kJobRetryAfter{300};

// A response whose body is an empty JSON object.
inline CompleteResponse EmptyObject(int status) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = "{}"};
}

inline Refusal StoreUnavailable(std::string reason) {
  return {.code = RefusalCode::kStoreDown,
          .reason = std::move(reason),
          .retry_after = kJobRetryAfter};
}

inline Refusal JobOfAnotherWorkspace() {
  return {.code = RefusalCode::kNotFound, .reason = "job of another workspace"};
}

}  // namespace carawayrelay

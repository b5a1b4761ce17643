#include "request/refusal.h"

#include <array>
#include <cassert>

namespace carawayrelay {
namespace {

struct CodeInfo {
  RefusalCode code;
  const char* name;
  int http_status;
};

// Indexed by RefusalCode.
constexpr std::array kCodes = {
    CodeInfo{RefusalCode::kInvalidRequest, "invalid_request", 400},
    CodeInfo{RefusalCode::kUnauthorized, "unauthorized", 401},
    CodeInfo{RefusalCode::kForbidden, "forbidden", 403},
    CodeInfo{RefusalCode::kNotFound, "not_found", 404},
    CodeInfo{RefusalCode::kConflict, "conflict", 409},
    CodeInfo{RefusalCode::kTooLarge, "too_large", 413},
    CodeInfo{RefusalCode::kRateLimited, "rate_limited", 429},
    CodeInfo{RefusalCode::kOverloaded, "overloaded", 503},
    CodeInfo{RefusalCode::kNoBackend, "no_backend", 503},
    CodeInfo{RefusalCode::kWindowFull, "window_full", 503},
    CodeInfo{RefusalCode::kStaleConfig, "stale_config", 503},
    CodeInfo{RefusalCode::kLeaving, "leaving", 503},
    CodeInfo{RefusalCode::kZoneOut, "zone_out", 503},
    CodeInfo{RefusalCode::kFenced, "fenced", 409},
    CodeInfo{RefusalCode::kStoreDown, "store_down", 503},
    CodeInfo{RefusalCode::kNotReady, "not_ready", 503},
    CodeInfo{RefusalCode::kCancelled, "cancelled", 499},
    CodeInfo{RefusalCode::kBackendFailed, "backend_failed", 502},
    CodeInfo{RefusalCode::kConnectionLost, "connection_lost", 502},
    CodeInfo{RefusalCode::kDeadline, "deadline", 504},
    CodeInfo{RefusalCode::kInternal, "internal", 500},
    CodeInfo{RefusalCode::kHeadersTooLarge, "headers_too_large", 431},
    CodeInfo{RefusalCode::kQuarantined, "quarantined", 503},
};
static_assert(kCodes.size() == static_cast<size_t>(kLastRefusalCode) + 1);

const CodeInfo& Find(RefusalCode code) {
  const CodeInfo& info = kCodes.at(static_cast<size_t>(code));
  assert(info.code == code);
  return info;
}

}  // namespace

const char* ToString(RefusalCode code) {
  return Find(code).name;
}

const char* ToString(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int HttpStatus(RefusalCode code) {
  return Find(code).http_status;
}

}  // namespace carawayrelay

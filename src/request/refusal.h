#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace carawayrelay {

// Whether a refused request ran on a backend server.
enum class RunState {
  kNotRun,   // no backend server has received it, so a retry is safe
  kRan,      // a backend server ran it
  kUnknown,  // it may have run
};

// The numeric values are sent over the wire: add new codes at the end only.
enum class RefusalCode {
  kInvalidRequest,   // malformed request
  kUnauthorized,     // missing, wrong or revoked key
  kForbidden,        // the workspace has no access to the route
  kNotFound,         // unknown route, model or object
  kConflict,         // name or idempotency key already used with other content
  kTooLarge,         // body larger than the limit
  kRateLimited,      // rate limit of the workspace exceeded
  kOverloaded,       // a bounded ring or queue is full
  kNoBackend,        // no backend server of the route was free in time
  kWindowFull,       // the agent has no free capacity
  kStaleConfig,      // the sender uses an outdated configuration
  kLeaving,          // the process is shutting down
  kZoneOut,          // the availability zone was taken out of service
  kFenced,           // a newer lease owner exists
  kStoreDown,        // the store is required but unavailable
  kNotReady,         // no configuration adopted yet
  kCancelled,        // cancelled by the client, by revocation of its key, or to
                     // free capacity for online requests
  kBackendFailed,    // the backend server failed or sent a broken response
  kConnectionLost,   // the connection to the agent was lost
  kDeadline,         // the deadline of the request passed
  kInternal,         // a bug in this program
  kHeadersTooLarge,  // headers larger than the limit
  kQuarantined,      // backend servers crash on a part of the prompt
};

inline constexpr RefusalCode kLastRefusalCode = RefusalCode::kQuarantined;

// Why a request got no complete response. `retry_after` is set when a later
// retry may succeed.
struct Refusal {
  RefusalCode code = RefusalCode::kInternal;
  RunState run_state = RunState::kNotRun;
  std::string reason;
  std::optional<std::chrono::milliseconds> retry_after;
};

// Returns the stable lower-case name of the code, such as "rate_limited".
const char* ToString(RefusalCode code);
// Returns "not_run", "ran" or "unknown".
const char* ToString(RunState state);
// Returns the HTTP status that is sent to clients for the code.
int HttpStatus(RefusalCode code);

}  // namespace carawayrelay

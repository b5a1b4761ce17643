#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace carawayrelay {

// Whether a refused request reached a backend server.
enum class RunState {
  kNotRun,   // no backend server has seen it; a repeat cannot double it
  kRan,      // a backend server ran it
  kUnknown,  // it may have run
};

enum class RefusalCode {
  kInvalidRequest,  // malformed request
  kUnauthorized,    // missing, wrong or withdrawn key
  kForbidden,       // the route is not open to the workspace
  kNotFound,        // unknown route, model or object
  kConflict,        // same name or idempotency key with other content
  kTooLarge,        // body over the limit
  kRateLimited,     // over the rate and burst of the workspace
  kOverloaded,      // a bounded ring or queue is full
  kNoBackend,       // no backend server for the route could take it in time
  kWindowFull,      // the agent has no room
  kStaleConfig,     // the sender works under an old configuration
  kLeaving,         // the process is stopping
  kZoneOut,         // the availability zone is taken out
  kFenced,          // a newer lease owner exists
  kStoreDown,       // the platform's store is needed and not reachable
  kNotReady,        // no configuration adopted yet
  kCancelled,       // cancelled by the caller, by a withdrawn key or for online
                    // work
  kBackendFailed,   // the backend server failed or broke its answer
  kConnectionLost,  // the connection to the agent broke
  kDeadline,        // the time limit of the request passed
  kInternal,        // a defect of this program
  kHeadersTooLarge,  // headers over the limit; last, as codes go over the wire
};

inline constexpr RefusalCode kLastRefusalCode = RefusalCode::kHeadersTooLarge;

// Why a request was not answered. `retry_after` is set where waiting helps.
struct Refusal {
  RefusalCode code = RefusalCode::kInternal;
  RunState run_state = RunState::kNotRun;
  std::string reason;
  std::optional<std::chrono::milliseconds> retry_after;
};

// Stable lower-case name, such as "rate_limited".
const char* ToString(RefusalCode code);
// "not_run", "ran" or "unknown".
const char* ToString(RunState state);
// HTTP status that callers get for the code.
int HttpStatus(RefusalCode code);

}  // namespace carawayrelay

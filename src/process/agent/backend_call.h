#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"

namespace carawayrelay {

// One call of an agent to its backend server, unique within the agent process.
// Later calls have higher ids.
enum class CallId : std::uint64_t {};

struct BackendCall {
  CallId call{0};
  std::string method;
  std::string path;
  std::string body;
  bool stream = false;
  std::string traceparent;
  std::string idempotency_key;
  // Set for batch items only.
  std::optional<ChunkRef> chunk;
};

// The backend server accepted the call: a success status arrived.
struct BackendStarted {
  CallId call{0};
};

// A checked piece of the response.
struct BackendPart {
  CallId call{0};
  std::string data;
};

// The response is whole and belongs to the call.
struct BackendEnd {
  CallId call{0};
  int http_status = 0;
  std::string content_type;
  std::uint64_t tokens = 0;
};

// The call ended without a whole response of its own.
struct BackendFailed {
  CallId call{0};
  RefusalCode code = RefusalCode::kBackendFailed;
  RunState run_state = RunState::kUnknown;
  std::string reason;
};

// The connection of a cancelled call is closed.
struct BackendCancelled {
  CallId call{0};
};

using BackendEvent = std::variant<BackendStarted,
                                  BackendPart,
                                  BackendEnd,
                                  BackendFailed,
                                  BackendCancelled>;

}  // namespace carawayrelay

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "carawayrelay/connection.h"
#include "carawayrelay/request.h"

namespace carawayrelay {

// Identifies a call from the agent to its backend server; unique within the
// agent process. Later calls have higher ids.
enum class CallId : std::uint64_t {};

// A call to the backend server.
struct BackendCall {
  CallId call{0};
  std::string method;
  std::string path;
  std::string body;
  // True when the response is to be streamed.
  bool stream = false;
  std::string traceparent;
  std::string idempotency_key;
  // Chunk that the batch item belongs to; unset for online requests.
  std::optional<ChunkRef> chunk;
};

// The backend server accepted the call: it responded with a 2xx status.
struct BackendStarted {
  CallId call{0};
};

// A piece of the response that passed the checks of BackendResponse.
struct BackendPart {
  CallId call{0};
  std::string data;
};

// The response is complete and was checked to belong to the call. May carry an
// error status of the backend server, such as 400.
struct BackendEnd {
  CallId call{0};
  int http_status = 0;
  std::string content_type;
  // Generated tokens: the count that the backend server reported, else the
  // number of streamed events with content.
  std::uint64_t tokens = 0;
};

// The call ended without a complete response that belongs to it. `run_state`
// says whether the backend server may have run the request.
struct BackendFailed {
  CallId call{0};
  RefusalCode code = RefusalCode::kBackendFailed;
  RunState run_state = RunState::kUnknown;
  std::string reason;
};

// The call was cancelled and its connection is closed.
struct BackendCancelled {
  CallId call{0};
};

using BackendEvent = std::variant<BackendStarted,
                                  BackendPart,
                                  BackendEnd,
                                  BackendFailed,
                                  BackendCancelled>;

}  // namespace carawayrelay

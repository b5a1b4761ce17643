#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "request/boot_clock.h"
#include "request/refusal.h"

namespace carawayrelay {

// One request of a client as the process serves it, unique in the process.
enum class ClientCallId : std::uint64_t {};

// A request of a client that is forwarded to a backend server as it came.
struct ClientCall {
  ClientCallId client{0};
  std::string request_id;  // chosen by the client
  std::string host;
  std::string method;
  std::string path;    // without the query
  std::string target;  // path and query
  std::string key;
  // How long the client waits, counted from `arrived`.
  std::optional<std::chrono::milliseconds> time_left;
  // Prompt tokens and most output tokens, summed; 0 when not told.
  std::int64_t tokens = 0;
  // The client resumes a stream after this event.
  std::string resume_after;
  // Headers that the backend server gets as they came.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  TimePoint arrived{};
};

// What a client gets, in order: one CompleteResponse, one Refusal, or an
// ResponseHead with parts and an end.
struct ResponseHead {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
};
struct ResponseBodyPart {
  std::string bytes;
};
struct ResponseEnd {};
// The answer cannot be completed; the client must not take it for whole.
struct ResponseAborted {};
struct CompleteResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

using ClientResponseEvent = std::variant<ResponseHead,
                                         ResponseBodyPart,
                                         ResponseEnd,
                                         ResponseAborted,
                                         CompleteResponse,
                                         Refusal>;

}  // namespace carawayrelay

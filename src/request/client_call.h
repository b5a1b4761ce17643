#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "request/boot_clock.h"
#include "request/prompt_parts.h"
#include "request/refusal.h"

namespace carawayrelay {

// Identifies a client request within the process.
enum class ClientCallId : std::uint64_t {};

// A client request that is forwarded to a backend server unchanged.
struct ClientCall {
  ClientCallId client{0};
  std::string request_id;  // chosen by the client
  std::string host;
  std::string method;
  std::string path;    // without the query
  std::string target;  // path and query
  std::string key;
  // Time for which the client waits, counted from `arrived`.
  std::optional<std::chrono::milliseconds> time_left;
  // Prompt tokens plus the maximum output tokens; 0 when the client sent none.
  std::int64_t tokens = 0;
  PromptParts prompt_parts;  // empty when the client named none
  // Id of the last event that the client received, when it resumes a stream.
  std::string resume_after;
  // Headers that are passed on to the backend server unchanged.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  TimePoint arrived{};
};

// The events of one response, in order: either one CompleteResponse, or one
// Refusal, or a ResponseHead followed by any number of ResponseBodyPart and
// then ResponseEnd or ResponseAborted.
struct ResponseHead {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
};
struct ResponseBodyPart {
  std::string bytes;
};
struct ResponseEnd {};
// The response cannot be completed. The client must be able to tell that it is
// incomplete.
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

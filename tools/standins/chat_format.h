#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "carawayrelay/process.h"

namespace carawayrelay::tools {

// The fields of a chat completion request that the engine stand-in uses.
struct ChatRequest {
  std::string model;
  // The content of all messages, joined by line feeds.
  std::string prompt;
  int max_tokens = 0;
  bool stream = false;
};

struct ChatUsage {
  int prompt_tokens = 0;
  int completion_tokens = 0;
  int cached_tokens = 0;
};

inline constexpr char kDoneEvent[] = "data: [DONE]\n\n";

// Returns nullopt when the body is not a chat completion request.
std::optional<ChatRequest> ReadChatRequest(const nlohmann::json& body);

// Formats a server-sent event with one token. `last` sets the finish reason.
std::string TokenEvent(const std::string& id,
                       const std::string& model,
                       const std::string& token,
                       bool last);
// Formats a server-sent event with the token usage and an empty list of
// choices, as it precedes kDoneEvent.
std::string UsageEvent(const std::string& id,
                       const std::string& model,
                       const ChatUsage& usage);
// Returns the body of a response that is not streamed.
nlohmann::json CompleteResponse(const std::string& id,
                                const std::string& model,
                                const std::string& content,
                                const ChatUsage& usage);
// Responds with `status` and an error object that holds `message`.
void ReplyError(HttpExchange& exchange, int status, const char* message);

}  // namespace carawayrelay::tools

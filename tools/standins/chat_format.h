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

// Returns nothing when the body is not a chat completion request.
std::optional<ChatRequest> ReadChatRequest(const nlohmann::json& body);

// Server-sent event with one token.
std::string TokenEvent(const std::string& id,
                       const std::string& model,
                       const std::string& token,
                       bool last);
// Server-sent event with the usage and no choices.
std::string UsageEvent(const std::string& id,
                       const std::string& model,
                       const ChatUsage& usage);
// Body of a response that is not streamed.
nlohmann::json CompleteResponse(const std::string& id,
                                const std::string& model,
                                const std::string& content,
                                const ChatUsage& usage);
void ReplyError(HttpExchange& exchange, int status, const char* message);

}  // namespace carawayrelay::tools

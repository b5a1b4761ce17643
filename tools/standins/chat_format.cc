#include "standins/chat_format.h"

#include "standins/expected_answer.h"
#include "standins/standin_server.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;

json ToJson(const ChatUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

std::string ToEvent(const json& chunk) {
  return "data: " + chunk.dump(-1, ' ', false, json::error_handler_t::replace) +
         "\n\n";
}

json Chunk(const std::string& id, const std::string& model) {
  return {{"id", id},
          {"object", "chat.completion.chunk"},
          {"model", model},
          {"choices", json::array()}};
}

}  // namespace

std::optional<ChatRequest> ReadChatRequest(const json& body) {
  if (!body.is_object()) {
    return std::nullopt;
  }
  try {
    ChatRequest chat;
    chat.model = body.at("model").get<std::string>();
    chat.max_tokens = body.value("max_tokens", kDefaultAnswerTokens);
    chat.stream = body.value("stream", false);
    bool first = true;
    for (const json& message : body.at("messages")) {
      const json& content = message.at("content");
      chat.prompt += first ? "" : "\n";
      chat.prompt +=
          content.is_string() ? content.get<std::string>() : content.dump();
      first = false;
    }
    return chat;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string TokenEvent(const std::string& id,
                       const std::string& model,
                       const std::string& token,
                       bool last) {
  json chunk = Chunk(id, model);
  chunk["choices"].push_back(
      {{"index", 0},
       {"delta", {{"content", token}}},
       {"finish_reason", last ? json("length") : json(nullptr)}});
  return ToEvent(chunk);
}

std::string UsageEvent(const std::string& id,
                       const std::string& model,
                       const ChatUsage& usage) {
  json chunk = Chunk(id, model);
  chunk["usage"] = ToJson(usage);
  return ToEvent(chunk);
}

json CompleteResponse(const std::string& id,
                      const std::string& model,
                      const std::string& content,
                      const ChatUsage& usage) {
  return {
      {"id", id},
      {"object", "chat.completion"},
      {"model", model},
      {"choices",
       json::array({{{"index", 0},
                     {"message", {{"role", "assistant"}, {"content", content}}},
                     {"finish_reason", "length"}}})},
      {"usage", ToJson(usage)}};
}

void ReplyError(HttpExchange& exchange, int status, const char* message) {
  ReplyJson(exchange, status, {{"error", {{"message", message}}}});
}

}  // namespace carawayrelay::tools

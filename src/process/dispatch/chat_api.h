#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "carawayrelay/request.h"
#include "process/dispatch/dispatch_event.h"
#include "process/transport/http_server.h"

namespace carawayrelay {

// Returns the token of "Authorization: Bearer <token>", or an empty string.
std::string BearerToken(const HttpRequest& request);

// Parses POST /v1/chat/completions. Of the client's headers, the result
// contains only the key, the Idempotency-Key and the trace context. Refuses
// with kInvalidRequest.
std::variant<ClientRequest, Refusal> ParseChatCall(const HttpRequest& request);

// Parses /services/<route>/<path>. Refuses with kInvalidRequest or kNotFound.
std::variant<ClientRequest, Refusal> ParseServiceCall(HttpRequest request);

// The HTTP and JSON API for clients. Runs on the thread of HttpServer. Parses
// requests and leaves all other decisions to the dispatcher behind `push`.
class ChatApi {
 public:
  // Passes an event, and the exchange for its response, to the dispatch thread.
  // Returns false when the ring of that thread is full.
  using Push = std::function<bool(DispatchEvent event, HttpExchangePtr)>;

  // `is_ready` is the state that /readyz reports; it must outlive the object.
  ChatApi(Push push, const std::atomic<bool>& is_ready);

  // Handles a request of this API. Returns false and leaves both arguments
  // unchanged when the path belongs to another API.
  bool Handle(HttpRequest& request, HttpExchangePtr& exchange);

 private:
  void HandleCall(std::variant<ClientRequest, Refusal> parsed,
                  const HttpExchangePtr& exchange);
  void PushOrRefuse(DispatchEvent event, const HttpExchangePtr& exchange);
  RequestId NextId();

  Push push_;
  const std::atomic<bool>& is_ready_;
  std::uint64_t next_request_ = 1;
};

}  // namespace carawayrelay

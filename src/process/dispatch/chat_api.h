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

// Token of "Authorization: Bearer <token>", or empty.
std::string BearerToken(const HttpRequest& request);

// Reads POST /v1/chat/completions. The result holds no header of the caller.
// Refuses with kInvalidRequest.
std::variant<ClientRequest, Refusal> ParseChatCall(const HttpRequest& request);

// Reads /services/<route>/<path>. Refuses with kInvalidRequest or kNotFound.
std::variant<ClientRequest, Refusal> ParseServiceCall(HttpRequest request);

// The HTTP and JSON front end for callers. Runs on the thread of HttpServer;
// decisions are left to the dispatcher behind `push`.
class ChatApi {
 public:
  // Hands an event and the exchange to answer to the dispatch thread. Returns
  // false when its ring is full.
  using Push = std::function<bool(DispatchEvent event, HttpExchangePtr)>;

  // `is_ready` must outlive the object.
  ChatApi(Push push, const std::atomic<bool>& is_ready);

  // Returns false, with both arguments untouched, for paths of other APIs.
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

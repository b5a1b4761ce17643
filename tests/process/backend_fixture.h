#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "carawayrelay/process.h"

namespace carawayrelay {

// A backend server whose response depends on the path and body of the request.
// Exchanges of requests with the body "hold" stay open after the first part.
struct BackendFixture {
  static constexpr std::chrono::seconds kWaitTimeout{5};

  std::string address;
  std::unique_ptr<HttpServer> server;
  Ring<HttpRequest> requests{64};
  std::mutex mutex;
  std::vector<HttpExchangePtr> open_exchanges;

  explicit BackendFixture(std::string listen_address)
      : address(std::move(listen_address)),
        server(HttpServer::Make(
                   {.listen_address = address},
                   [this](HttpRequest request, HttpExchangePtr exchange) {
                     Respond(request, exchange);
                   })
                   .value()) {}

  std::string url() const { return "http://" + address; }

  void Respond(HttpRequest& request, const HttpExchangePtr& exchange) {
    const std::string id = request.headers["x-request-id"];
    if (request.path == "/load") {
      exchange->Respond(200, {}, R"({"running":1,"waiting":2})");
      return;
    }
    if (request.path != "/v1/chat/completions") {
      exchange->Respond(201, {{"Content-Type", "text/plain"}}, request.body);
    } else if (request.body == "busy") {
      exchange->Respond(503, {}, "");
    } else {
      exchange->StartStream(200, {{"Content-Type", "text/event-stream"}});
      exchange->SendPart("data: {\"id\":\"" + id + "\"}\n\n");
      if (request.body == "break") {
        exchange->Abort();
      } else if (request.body == "hold") {
        std::lock_guard lock(mutex);
        open_exchanges.push_back(exchange);
      } else {
        exchange->SendPart("data: [DONE]\n\n");
        exchange->EndStream();
      }
    }
    requests.TryPush(request);
  }

  std::optional<HttpRequest> NextRequest() {
    return requests.PopUntil(BootClock::now() + kWaitTimeout);
  }
  // Returns whether the peer closes the first open exchange within
  // kWaitTimeout.
  bool IsOpenExchangeClosed() {
    const TimePoint limit = BootClock::now() + kWaitTimeout;
    while (BootClock::now() < limit) {
      {
        std::lock_guard lock(mutex);
        if (!open_exchanges.empty() &&
            !open_exchanges.front()->SendPart(": comment\n\n")) {
          return true;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }
};

}  // namespace carawayrelay

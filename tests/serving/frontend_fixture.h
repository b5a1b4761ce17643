#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>

#include "process/fake_store.h"
#include "process/serving/frontend_process.h"
#include "process/transport/http_client.h"
#include "serving/loopback_store.h"

namespace carawayrelay {

// A frontend on loopback with its store. The backend servers are the test's.
struct FrontendFixture {
  static constexpr std::chrono::milliseconds kStopGrace{4000};
  static constexpr const char* kHost = "h.example";
  static constexpr const char* kKey = "key";

  LoopbackStore store;
  std::unique_ptr<FrontendProcess> frontend;
  std::string clients_url;
  std::string ready_url;
  std::string peers_address = FreeAddress();
  nlohmann::json config = nlohmann::json::parse(R"({
    "version": 1,
    "routes": [
      {"name": "online", "host": "h.example", "prefix": "/x/", "routeType": "non_idempotent",
       "timeoutMs": 30000, "latencyGoalMs": 300, "maxAttempts": 1, "service": "s"},
      {"name": "repeatable", "host": "h.example", "prefix": "/r/", "routeType": "idempotent",
       "timeoutMs": 30000, "latencyGoalMs": 300, "maxAttempts": 2, "service": "s"},
      {"name": "stream", "host": "h.example", "prefix": "/s/", "routeType": "streaming",
       "timeoutMs": 30000, "latencyGoalMs": 300, "maxAttempts": 1, "service": "s"},
      {"name": "batch", "host": "h.example", "prefix": "/b/", "routeType": "bulk", "service": "s",
       "runAimMs": 18000, "keepS": 60, "maxAttempts": 3}],
    "services": [{"name": "s", "maxConns": 100}],
    "tenants": [{"name": "w", "apiKeys": ["key"], "ratePerS": 0, "burst": 0}]})");

  // Writes the registration of a backend server of zone `z`.
  void RegisterBackend(const std::string& id, const std::string& address) {
    store.Put("servers", id,
              {{"service", "s"},
               {"address", address},
               {"zone", "z"},
               {"version", "1"},
               {"capacity", 8},
               {"state", "ready"},
               {"coldLeftMs", 0},
               {"sequence", 1}});
  }
  // Starts the frontend and waits until it serves a request.
  void StartFrontend() {
    store.Put("op", "config", config);
    const std::string clients = FreeAddress();
    clients_url = "http://" + clients;
    const std::string ready = FreeAddress();
    ready_url = "http://" + ready;
    FrontendSettings settings{.node = "edge-1",
                              .zone = "z",
                              .listen_clients = clients,
                              .listen_ready = ready,
                              .listen_peers = peers_address,
                              .store_address = store.address(),
                              .shares_health = true,
                              .stop_grace = kStopGrace};
    auto made = FrontendProcess::Make(std::move(settings), 1);
    REQUIRE_MESSAGE(made, made.error().message);
    frontend = std::move(made).value();
    WaitUntilServed();
  }
  void WaitUntilServed() {
    const TimePoint end = BootClock::now() + std::chrono::milliseconds(10000);
    while (Send("first", std::chrono::milliseconds(1000)) != 200 &&
           BootClock::now() < end) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  }

  static std::string FreeAddress() {
    auto [server, url] =
        ServeOnFreePort([](const HttpRequest&, const HttpExchangePtr&) {});
    server->Stop();
    return url.substr(url.rfind('/') + 1);
  }
  // Fails unless a complete response arrived.
  Result<HttpResponse> Ask(const std::string& method,
                           const std::string& target,
                           const std::string& id,
                           std::chrono::milliseconds time_limit,
                           const std::string& body) const {
    return HttpClient::Make(
               {.base_url = clients_url,
                .request_timeout = std::chrono::milliseconds(15000)})
        .value()
        ->Send({.method = method,
                .target = target,
                .headers = {std::string("Host: ") + kHost,
                            std::string("X-Api-Key: ") + kKey,
                            "X-Carawayrelay-Request-Id: " + id,
                            "X-Carawayrelay-Deadline-Ms: " +
                                std::to_string(time_limit.count())},
                .body = body});
  }
  // Returns the status, or 0 if there was no complete response.
  int Call(const std::string& method,
           const std::string& target,
           const std::string& id,
           std::chrono::milliseconds time_limit,
           const std::string& body) const {
    const Result<HttpResponse> response =
        Ask(method, target, id, time_limit, body);
    return response ? response.value().status : 0;
  }
  int Send(const std::string& id, std::chrono::milliseconds time_limit) const {
    return Call("POST", "/x/1", id, time_limit, "{}");
  }
};

}  // namespace carawayrelay

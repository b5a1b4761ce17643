#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/serving/frontend_process.h"
#include "process/transport/http_client.h"
#include "serving/loopback_store.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The frontend process on loopback, with two backend servers of each version.
struct RolloutFrontendFixture {
  std::atomic<bool> is_new_version_bad = false;
  std::atomic<int> old_runs = 0;
  std::atomic<int> new_runs = 0;
  LoopbackStore store;
  std::vector<std::unique_ptr<HttpServer>> servers;
  std::unique_ptr<FrontendProcess> frontend;
  std::string clients_url;

  RolloutFrontendFixture() {
    store.Put("op", "config", json::parse(R"({
      "version": 1,
      "routes": [{"name": "online", "host": "h.example", "prefix": "/x/",
                  "routeType": "idempotent", "timeoutMs": 5000,
                  "latencyGoalMs": 300, "maxAttempts": 3, "service": "s"}],
      "services": [{"name": "s", "maxConns": 100}],
      "tenants": [{"name": "w", "apiKeys": ["key"]}]})"));
    for (const char* id : {"old-1", "old-2"}) {
      AddBackend(id, "v1");
    }
    for (const char* id : {"new-1", "new-2"}) {
      AddBackend(id, "v2");
    }
    const std::string clients = FreeAddress();
    clients_url = "http://" + clients;
    auto made = FrontendProcess::Make(
        {.node = "edge-1",
         .zone = "z",
         .listen_clients = clients,
         .listen_ready = FreeAddress(),
         .listen_peers = FreeAddress(),
         .store_address = store.address(),
         .stop_grace = milliseconds(3000),
         .rollout =
             RolloutSettings{
                 .share = 0.1, .slack = 50, .deadline = milliseconds(5000)}},
        1);
    REQUIRE_MESSAGE(made, made.error().message);
    frontend = std::move(made).value();
    const TimePoint end = BootClock::now() + milliseconds(10000);
    while (Send() != 200 && BootClock::now() < end) {
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  ~RolloutFrontendFixture() {
    frontend.reset();
    for (auto& server : servers) {
      server->Stop();
    }
  }

  void AddBackend(const std::string& id, const std::string& version) {
    const bool is_new = version == "v2";
    auto [server, url] =
        ServeOnFreePort([this, is_new](const HttpRequest& request,
                                       const HttpExchangePtr& exchange) {
          ++(is_new ? new_runs : old_runs);
          exchange->Respond(is_new && is_new_version_bad ? 500 : 200,
                            {{"x-carawayrelay-server-stamp", "s"},
                             {"x-carawayrelay-request-id",
                              request.headers.at("x-carawayrelay-request-id")}},
                            "done");
        });
    servers.push_back(std::move(server));
    store.Put("servers", id,
              {{"service", "s"},
               {"address", url.substr(url.rfind('/') + 1)},
               {"zone", "z"},
               {"version", version},
               {"capacity", 8},
               {"state", "ready"},
               {"born", is_new ? 2000 : 1000}});
  }
  static std::string FreeAddress() {
    auto [server, url] =
        ServeOnFreePort([](const HttpRequest&, const HttpExchangePtr&) {});
    server->Stop();
    return url.substr(url.rfind('/') + 1);
  }
  // Returns the status, or 0 if there was no complete response.
  int Send() {
    if (!client) {
      client = HttpClient::Make({.base_url = clients_url,
                                 .request_timeout = milliseconds(5000)})
                   .value();
    }
    const Result<HttpResponse> response =
        client->Send({.method = "POST",
                      .target = "/x/1",
                      .headers = {"Host: h.example", "X-Api-Key: key",
                                  "X-Carawayrelay-Request-Id: r" +
                                      std::to_string(++requests)},
                      .body = "{}"});
    return response ? response.value().status : 0;
  }
  std::string State() {
    const json status =
        json::parse(store.Get("status", "rollout/s"), nullptr, false);
    return status.is_object() ? status.value("state", "") : "";
  }
  // Sends requests until the state is reached or the time is over. Returns
  // whether it was reached.
  bool SendUntil(const std::string& state, milliseconds time) {
    const TimePoint end = BootClock::now() + time;
    while (BootClock::now() < end) {
      failed += Send() == 200 ? 0 : 1;
      if (State() == state) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(4));
    }
    return false;
  }

  std::unique_ptr<HttpClient> client;
  int requests = 0;
  int failed = 0;
};

// Guards against a frontend process in which the parts of the rollout are not
// connected: the bad version would get all requests or the rollout never end.
TEST_CASE_FIXTURE(RolloutFrontendFixture,
                  "Rollout, frontend process and bad version, is rolled back") {
  CHECK(new_runs == 0);
  is_new_version_bad = true;
  old_runs = 0;
  store.Put("op", "rollout/s",
            {{"service", "s"}, {"to", "v2"}, {"durationS", 20}});
  CHECK(SendUntil("rolled_back", milliseconds(20000)));
  CHECK(new_runs > 0);
  CHECK(new_runs <= 0.1 * (new_runs + old_runs) + 50);
  std::this_thread::sleep_for(milliseconds(500));
  const int before = new_runs;
  for (int i = 0; i < 50; ++i) {
    Send();
  }
  CHECK(new_runs == before);
  CHECK(failed == 0);
}

TEST_CASE_FIXTURE(RolloutFrontendFixture,
                  "Rollout, frontend process and good version, is complete") {
  store.Put("op", "rollout/s",
            {{"service", "s"}, {"to", "v2"}, {"durationS", 6}});
  CHECK(SendUntil("complete", milliseconds(7000)));
  old_runs = 0;
  for (int i = 0; i < 50; ++i) {
    Send();
  }
  CHECK(old_runs == 0);
  CHECK(failed == 0);
}

}  // namespace
}  // namespace carawayrelay

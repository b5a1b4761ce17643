#pragma once

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>

#include "harness/free_ports.h"
#include "harness/process_group.h"
#include "process/client_crowd.h"
#include "process/crowd_watch.h"
#include "process/transport/http_client.h"
#include "serving/loopback_store.h"

namespace carawayrelay {

// Path of the real program, which is built beside the tests.
inline std::string ProgramPath() {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() /
          "carawayrelay")
      .string();
}

// The real program as a frontend, with a store and a backend server in this
// process. The backend server responds with the size of the body, and to
// requests below /x/large/ with kLargeResponseBytes.
struct UntrustedFrontendFixture {
  static constexpr const char* kName = "frontend";
  static constexpr size_t kMegabyte = CrowdWatch::kMegabyte;
  static constexpr size_t kSmallCrowd = 60;
  static constexpr size_t kLargeCrowd = 600;
  static constexpr size_t kPayloadBytes = size_t{64} << 10;
  static constexpr size_t kLargeResponseBytes = kMegabyte;

  LoopbackStore store;
  std::unique_ptr<HttpServer> backend;
  std::string backend_address;
  std::unique_ptr<tools::ProcessGroup> processes =
      tools::ProcessGroup::Make().value();
  std::uint16_t port = 0;
  std::uint16_t ready_port = 0;
  std::uint16_t metrics_port = 0;
  std::uint16_t peers_port = 0;
  std::unique_ptr<CrowdWatch> watch;

  UntrustedFrontendFixture() {
    std::string backend_url;
    std::tie(backend, backend_url) = ServeOnFreePort(
        [](const HttpRequest& request, const HttpExchangePtr& exchange) {
          const bool is_large = request.path.starts_with("/x/large/");
          exchange->Respond(200,
                            {{"x-carawayrelay-server-stamp", "s"},
                             {"x-carawayrelay-request-id",
                              request.headers.at("x-carawayrelay-request-id")}},
                            is_large ? std::string(kLargeResponseBytes, 'x')
                                     : std::to_string(request.body.size()));
        });
    backend_address = backend_url.substr(backend_url.rfind('/') + 1);
    // The frontend passes on heads that are larger than the default limit.
    backend->SetRequestLimits({.field_bytes = kMegabyte});
    PutConfig(nlohmann::json::object());
    store.Put("servers", "backend",
              {{"service", "s"},
               {"address", backend_address},
               {"zone", "z"},
               {"version", "1"},
               {"capacity", 8},
               {"state", "ready"},
               {"coldLeftMs", 0},
               {"sequence", 1}});
  }
  ~UntrustedFrontendFixture() {
    processes.reset();
    backend->Stop();
  }

  // Sets the configuration with the limits of clients that it names.
  void PutConfig(const nlohmann::json& limits) {
    nlohmann::json config = nlohmann::json::parse(R"({
      "version": 1,
      "routes": [{"name": "online", "host": "h.example", "prefix": "/x/",
                  "routeType": "non_idempotent", "timeoutMs": 60000,
                  "latencyGoalMs": 300, "maxAttempts": 1, "service": "s"}],
      "services": [{"name": "s", "maxConns": 100}],
      "tenants": [{"name": "w", "apiKeys": ["key"], "ratePerS": 0,
                   "burst": 0}]})");
    config["limits"] = limits;
    store.Put("op", "config", config);
  }

  // Starts the program and waits until it serves requests.
  void Start() {
    const auto ports = tools::FindFreePorts(4).value();
    const auto address = [&](size_t i) {
      return "127.0.0.1:" + std::to_string(ports[i]);
    };
    port = ports[0];
    ready_port = ports[1];
    metrics_port = ports[2];
    peers_port = ports[3];
    const nlohmann::json settings = {
        {"node", "edge-1"},
        {"zone", "z"},
        {"listen_clients", address(0)},
        {"listen_ready", address(1)},
        {"listen_metrics", address(2)},
        {"listen_peers", address(3)},
        {"memory_mb", CrowdWatch::kMemoryMegabytes},
        {"store_address", store.address()}};
    const std::string path = processes->directory() + "/frontend.json";
    std::ofstream(path) << settings;
    REQUIRE(processes->Start(kName,
                             {ProgramPath(), "frontend", "--settings", path}));
    watch = std::make_unique<CrowdWatch>(
        *processes, kName, std::set<std::uint16_t>{ports.begin(), ports.end()});
    REQUIRE(IsServed());
  }

  // Sends an ordinary request until it is served. Returns false if none is.
  bool IsServed(const std::string& body = "{}") {
    return WaitUntilServed(*processes, kName, [&] {
      const auto client = HttpClient::Make(
          {.base_url = "http://127.0.0.1:" + std::to_string(port),
           .request_timeout = std::chrono::milliseconds(5000)});
      const Result<HttpResponse> response =
          client.value()->Send({.method = "POST",
                                .target = "/x/1",
                                .headers = {"Host: h.example", "X-Api-Key: key",
                                            "X-Carawayrelay-Request-Id: r",
                                            "X-Carawayrelay-Deadline-Ms: 4000"},
                                .body = body});
      return response && response.value().status == 200 &&
             response.value().body == std::to_string(body.size());
    });
  }

  // Runs a crowd against the client port, or another port, and checks the
  // process.
  void Check(size_t connections,
             std::string head,
             std::string repeat,
             size_t bytes_per_connection,
             std::uint16_t crowd_port = 0,
             size_t backend_connections = 0) {
    {
      ClientCrowd crowd({.port = crowd_port == 0 ? port : crowd_port,
                         .connections = connections,
                         .head = std::move(head),
                         .repeat = std::move(repeat),
                         .bytes_per_connection = bytes_per_connection});
      crowd.Run([this] { watch->Observe(); });
    }
    watch->Check(connections + backend_connections);
    CHECK(IsServed());
  }

  static std::string Repeat(const std::string& text, size_t bytes) {
    std::string result;
    while (result.size() + text.size() <= bytes) {
      result += text;
    }
    return result;
  }
  static std::string Post(const std::string& header) {
    return "POST /x/1 HTTP/1.1\r\nHost: h.example\r\n" + header + "\r\n\r\n";
  }
  // The largest chunk that is sent, and a chunk of one byte again and again.
  static std::string LargeChunk() {
    return "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
  }
  static std::string SmallChunks() {
    return Repeat("1\r\nx\r\n", kPayloadBytes);
  }
};

}  // namespace carawayrelay

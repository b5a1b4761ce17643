#include <doctest/doctest.h>
#include <sys/resource.h>

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>

#include "harness/free_ports.h"
#include "harness/process_group.h"
#include "process/client_crowd.h"
#include "process/transport/http_client.h"
#include "serving/loopback_store.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr size_t kMegabyte = size_t{1} << 20;
// Memory of the smallest VM of a frontend.
constexpr size_t kMemoryMegabytes = 88;
constexpr size_t kSmallCrowd = 60;
constexpr size_t kLargeCrowd = 600;
constexpr size_t kSmallCrowdResidentBytes = 100 * kMegabyte;
constexpr size_t kLargeCrowdResidentBytes = 120 * kMegabyte;
// Descriptors of the process besides those of the crowd.
constexpr size_t kOwnDescriptors = 60;
constexpr size_t kPayloadBytes = size_t{64} << 10;

std::string Repeat(const std::string& text, size_t bytes) {
  std::string result;
  while (result.size() + text.size() <= bytes) {
    result += text;
  }
  return result;
}

// The real program as a frontend, with a store and a backend server in this
// process.
struct UntrustedClientsFixture {
  static constexpr const char* kName = "frontend";

  struct Observed {
    size_t resident_bytes = 0;
    size_t descriptors = 0;
  };

  LoopbackStore store;
  std::unique_ptr<HttpServer> backend;
  std::unique_ptr<tools::ProcessGroup> processes =
      tools::ProcessGroup::Make().value();
  std::uint16_t port = 0;
  std::uint16_t ready_port = 0;
  Observed most;

  UntrustedClientsFixture() {
    std::string backend_url;
    std::tie(backend, backend_url) = ServeOnFreePort(
        [](const HttpRequest& request, const HttpExchangePtr& exchange) {
          exchange->Respond(200,
                            {{"x-carawayrelay-server-stamp", "s"},
                             {"x-carawayrelay-request-id",
                              request.headers.at("x-carawayrelay-request-id")}},
                            std::to_string(request.body.size()));
        });
    store.Put("op", "config", json::parse(R"({
      "version": 1,
      "routes": [{"name": "online", "host": "h.example", "prefix": "/x/",
                  "routeType": "non_idempotent", "timeoutMs": 30000,
                  "latencyGoalMs": 300, "maxAttempts": 1, "service": "s"}],
      "services": [{"name": "s", "maxConns": 100}],
      "tenants": [{"name": "w", "apiKeys": ["key"], "ratePerS": 0,
                   "burst": 0}]})"));
    store.Put("servers", "backend",
              {{"service", "s"},
               {"address", backend_url.substr(backend_url.rfind('/') + 1)},
               {"zone", "z"},
               {"version", "1"},
               {"capacity", 8},
               {"state", "ready"},
               {"coldLeftMs", 0},
               {"sequence", 1}});
  }
  ~UntrustedClientsFixture() {
    processes.reset();
    backend->Stop();
  }

  // Starts the program and waits until it serves requests.
  void Start() {
    const auto ports = tools::FindFreePorts(3).value();
    const auto address = [&](size_t i) {
      return "127.0.0.1:" + std::to_string(ports[i]);
    };
    port = ports[0];
    ready_port = ports[1];
    const json settings = {{"node", "edge-1"},
                           {"zone", "z"},
                           {"listen_clients", address(0)},
                           {"listen_ready", address(1)},
                           {"listen_peers", address(2)},
                           {"memory_mb", kMemoryMegabytes},
                           {"store_address", store.address()}};
    const std::string path = processes->directory() + "/frontend.json";
    std::ofstream(path) << settings;
    const std::filesystem::path program =
        std::filesystem::read_symlink("/proc/self/exe").parent_path() /
        "carawayrelay";
    REQUIRE(processes->Start(
        kName, {program.string(), "frontend", "--settings", path}));
    REQUIRE(IsServed());
  }

  // Sends an ordinary request until it is served. Returns false if none is.
  bool IsServed(const std::string& body = "{}") {
    const TimePoint end = BootClock::now() + milliseconds(60000);
    while (BootClock::now() < end && processes->IsRunning(kName)) {
      const auto client = HttpClient::Make(
          {.base_url = "http://127.0.0.1:" + std::to_string(port),
           .request_timeout = milliseconds(5000)});
      const Result<HttpResponse> response =
          client.value()->Send({.method = "POST",
                                .target = "/x/1",
                                .headers = {"Host: h.example", "X-Api-Key: key",
                                            "X-Carawayrelay-Request-Id: r",
                                            "X-Carawayrelay-Deadline-Ms: 4000"},
                                .body = body});
      if (response && response.value().status == 200 &&
          response.value().body == std::to_string(body.size())) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  void Observe() {
    most.resident_bytes =
        std::max(most.resident_bytes, processes->ResidentBytes(kName));
    most.descriptors =
        std::max(most.descriptors, processes->OpenDescriptors(kName));
  }

  // Runs a crowd against the client port and checks the process.
  void Check(size_t connections,
             std::string head,
             std::string repeat,
             size_t bytes_per_connection,
             std::uint16_t crowd_port = 0) {
    {
      ClientCrowd crowd({.port = crowd_port == 0 ? port : crowd_port,
                         .connections = connections,
                         .head = std::move(head),
                         .repeat = std::move(repeat),
                         .bytes_per_connection = bytes_per_connection});
      crowd.Run([this] { Observe(); });
    }
    MESSAGE("resident MB: ", most.resident_bytes / kMegabyte,
            ", descriptors: ", most.descriptors);
    CHECK(processes->IsRunning(kName));
    CHECK(most.resident_bytes < (connections == kSmallCrowd
                                     ? kSmallCrowdResidentBytes
                                     : kLargeCrowdResidentBytes));
    CHECK(most.descriptors < connections + kOwnDescriptors);
    CHECK(IsServed());
  }

  static std::string Post(const std::string& header) {
    return "POST /x/1 HTTP/1.1\r\nHost: h.example\r\n" + header + "\r\n\r\n";
  }
};

// Guards against limits that refuse a request of an ordinary client: 16 KiB of
// headers and a body of 4 MiB, which the request memory of the smallest VM
// must hold.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, largest allowed request on the smallest VM, is "
                  "served") {
  Start();
  CHECK(IsServed(std::string(4 * kMegabyte, 'x')));
  Observe();
  CHECK(most.resident_bytes < kMemoryMegabytes * kMegabyte);
}

// Guards against the same for a body of unknown length in chunks of 4 KiB.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, largest allowed request in chunks, is served") {
  Start();
  constexpr size_t kChunks = 1024;
  std::string request = Post(
      "Transfer-Encoding: chunked\r\nX-Api-Key: key\r\n"
      "X-Carawayrelay-Request-Id: r\r\n"
      "X-Carawayrelay-Deadline-Ms: 20000\r\nConnection: close\r\n"
      "X-Long: " +
      std::string(15000, 'h'));
  for (size_t i = 0; i < kChunks; ++i) {
    request += "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
  }
  request += "0\r\n\r\n";
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), port});
  asio::write(socket, asio::buffer(request));
  std::string answer;
  asio::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with(std::to_string(4 * kMegabyte)));
  Observe();
  CHECK(most.resident_bytes < kMemoryMegabytes * kMegabyte);
}

// Guards against memory that grows with heads that have no end.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, heads without end, stays within its memory") {
  Start();
  Check(kSmallCrowd, "GET / HTTP/1.1\r\n", Repeat("a:b\r\n", kPayloadBytes),
        kMegabyte);
}

// Guards against small fields that cost many times their bytes: 79 KB of them
// stay below the limit of the parser for a head.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, heads of small fields that stop short, stays "
                  "within its memory") {
  Start();
  Check(kLargeCrowd, "GET / HTTP/1.1\r\n", Repeat("a:b\r\n", kPayloadBytes),
        79000);
}

// Guards against a connection that is kept busy by empty lines without end.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, empty lines without end, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, "\r\n", Repeat("\r\n", kPayloadBytes), 4 * kMegabyte);
}

// Guards against chunks that cost more than their bytes: one frontend had
// 1,650 MB resident with 60 connections.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, chunks of one byte, stays within its memory") {
  Start();
  Check(kSmallCrowd, Post("Transfer-Encoding: chunked"),
        Repeat("1\r\nx\r\n", kPayloadBytes), 2 * kMegabyte);
}

// Guards against the same with many connections of few bytes each.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, chunks of one byte on many connections, stays "
                  "within its memory") {
  Start();
  Check(kLargeCrowd, Post("Transfer-Encoding: chunked"),
        Repeat("1\r\nx\r\n", kPayloadBytes), kMegabyte / 4);
}

// Guards against chunked bodies that stop short and are held without a limit
// on their sum.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, large chunks that stop short, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, Post("Transfer-Encoding: chunked"),
        "10000\r\n" + std::string(0x10000, 'x') + "\r\n", 4 * kMegabyte);
}

// Guards against bodies far over the limit that are not announced.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, large chunks without end, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, Post("Transfer-Encoding: chunked"),
        "10000\r\n" + std::string(0x10000, 'x') + "\r\n", 12 * kMegabyte);
}

// Guards against announced bodies within the limit that stop short.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, bodies that stop short, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, Post("Content-Length: 4194304"),
        std::string(kPayloadBytes, 'x'), 4 * kMegabyte);
}

// Guards against announced bodies far over the limit.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, announced bodies over the limit, stays within "
                  "its memory") {
  Start();
  Check(kSmallCrowd, Post("Content-Length: 1099511627776"),
        std::string(kPayloadBytes, 'x'), 8 * kMegabyte);
}

// Guards against a port beside the client port that has no limits.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, chunks of one byte on the readiness port, stays "
                  "within its memory") {
  Start();
  Check(kSmallCrowd, Post("Transfer-Encoding: chunked"),
        Repeat("1\r\nx\r\n", kPayloadBytes), 2 * kMegabyte, ready_port);
}

// Guards against requests that are read ahead without a limit while the
// client reads no responses.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, pipelined requests without end, stays within its "
                  "memory") {
  Start();
  Check(kSmallCrowd, "\r\n",
        Repeat("GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n", kPayloadBytes),
        4 * kMegabyte);
}

// Guards against a server that accepts no connection any more once the
// descriptors of the process have been used up, and against clients that leave
// no descriptors for the store and the backend servers.
TEST_CASE_FIXTURE(UntrustedClientsFixture,
                  "Frontend, more connections than descriptors, serves "
                  "afterwards") {
  constexpr rlim_t kDescriptors = 300;
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const rlimit lowered{.rlim_cur = kDescriptors, .rlim_max = before.rlim_max};
  setrlimit(RLIMIT_NOFILE, &lowered);
  Start();
  setrlimit(RLIMIT_NOFILE, &before);
  Check(kLargeCrowd, "G", "E", 1);
}

}  // namespace
}  // namespace carawayrelay

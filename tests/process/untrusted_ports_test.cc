#include <doctest/doctest.h>

#include <string>

#include "process/untrusted_clients.h"
#include "process/untrusted_frontend_fixture.h"

namespace carawayrelay {
namespace {

// Guards against a port beside the client port that has no limits.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, untrusted clients on the readiness port, stays "
                  "within its memory") {
  Start();
  for (const UntrustedClientKind& kind : UntrustedClientKinds()) {
    CAPTURE(kind.name);
    Check(kSmallCrowd, kind.head, kind.repeat, kind.bytes_per_connection,
          ready_port);
  }
}

// Guards against the same on the metrics port.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, untrusted clients on the metrics port, stays "
                  "within its memory") {
  Start();
  for (const UntrustedClientKind& kind : UntrustedClientKinds()) {
    CAPTURE(kind.name);
    Check(kSmallCrowd, kind.head, kind.repeat, kind.bytes_per_connection,
          metrics_port);
  }
}

// Guards against datagrams that are stored without a limit.
TEST_CASE_FIXTURE(UntrustedFrontendFixture,
                  "Frontend, datagrams of any content, stays within its "
                  "memory") {
  constexpr size_t kDatagrams = 200000;
  constexpr size_t kObserveInterval = 1000;
  Start();
  const int sender = socket(AF_INET, SOCK_DGRAM, 0);
  const sockaddr_in address{.sin_family = AF_INET,
                            .sin_port = htons(peers_port),
                            .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
  // Sizes from empty to the largest that UDP has.
  const std::string bytes(65000, '\x7f');
  for (size_t i = 0; i < kDatagrams; ++i) {
    sendto(sender, bytes.data(), i % 10 == 0 ? bytes.size() : i % 2200,
           MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address));
    if (i % kObserveInterval == 0) {
      watch->Observe();
    }
  }
  close(sender);
  watch->Observe();
  watch->Check(0);
  CHECK(IsServed());
}

// The real program as a worker, with the store and the backend server of the
// other fixture.
struct UntrustedWorkerFixture : UntrustedFrontendFixture {
  static constexpr const char* kWorker = "worker";

  std::uint16_t worker_port = 0;
  std::unique_ptr<CrowdWatch> worker_watch;

  void StartWorker() {
    worker_port = tools::FindFreePorts(1).value()[0];
    const nlohmann::json settings = {
        {"node", "side-1"},
        {"zone", "z"},
        {"runner_address", backend_address},
        {"memory_mb", CrowdWatch::kMemoryMegabytes},
        {"listen_metrics", "127.0.0.1:" + std::to_string(worker_port)},
        {"store_address", store.address()}};
    const std::string path = processes->directory() + "/worker.json";
    std::ofstream(path) << settings;
    REQUIRE(processes->Start(kWorker,
                             {ProgramPath(), "worker", "--settings", path}));
    worker_watch = std::make_unique<CrowdWatch>(
        *processes, kWorker, std::set<std::uint16_t>{worker_port});
    REQUIRE(AnswersMetrics());
  }

  bool AnswersMetrics() {
    return WaitUntilServed(*processes, kWorker, [&] {
      const auto client = HttpClient::Make(
          {.base_url = "http://127.0.0.1:" + std::to_string(worker_port),
           .request_timeout = std::chrono::milliseconds(5000)});
      const Result<HttpResponse> response =
          client.value()->Send({.method = "GET", .target = "/metrics"});
      return response && response.value().status == 200;
    });
  }
};

// Guards against the same on the only port of a worker.
TEST_CASE_FIXTURE(UntrustedWorkerFixture,
                  "Worker, untrusted clients on the metrics port, stays within "
                  "its memory") {
  StartWorker();
  for (const UntrustedClientKind& kind : UntrustedClientKinds()) {
    CAPTURE(kind.name);
    {
      ClientCrowd crowd({.port = worker_port,
                         .connections = kSmallCrowd,
                         .head = kind.head,
                         .repeat = kind.repeat,
                         .bytes_per_connection = kind.bytes_per_connection});
      crowd.Run([this] { worker_watch->Observe(); });
    }
    worker_watch->Check(kSmallCrowd);
    CHECK(AnswersMetrics());
  }
}

}  // namespace
}  // namespace carawayrelay

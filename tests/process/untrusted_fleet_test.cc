#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "harness/api_client.h"
#include "harness/curl_http_client.h"
#include "harness/fleet.h"
#include "harness/stop_signal.h"
#include "harness/test_key.h"
#include "process/untrusted_clients.h"
#include "process/untrusted_frontend_fixture.h"

namespace carawayrelay {
namespace {

// The real program as an entry and as an agent, with stand-ins for the platform
// and for the engine.
struct UntrustedFleetFixture {
  static constexpr const char* kEntry = "entry-1";
  static constexpr const char* kAgent = "agent-1";
  static constexpr const char* kModel = "model";
  static constexpr size_t kMegabyte = CrowdWatch::kMegabyte;
  static constexpr size_t kSmallCrowd = UntrustedFrontendFixture::kSmallCrowd;
  static constexpr size_t kLargeCrowd = UntrustedFrontendFixture::kLargeCrowd;

  tools::StopSignal stop;
  std::unique_ptr<tools::CurlHttpClient> http =
      tools::CurlHttpClient::Make().value();
  std::unique_ptr<tools::ProcessGroup> processes =
      tools::ProcessGroup::Make().value();
  tools::TestKey key = tools::MakeTestKey("key", "workspace");
  std::unique_ptr<tools::Fleet> fleet;
  std::unique_ptr<tools::ApiClient> client;

  void Start() {
    const std::string program = ProgramPath();
    tools::BackendPlan backend;
    backend.node = kAgent;
    backend.zone = "z";
    backend.routes = {kModel};
    fleet = tools::Fleet::Make(
                {.program_directory = program.substr(0, program.rfind('/')),
                 .entries = {{.node = kEntry,
                              .zone = "z",
                              .memory_megabytes = static_cast<int>(
                                  CrowdWatch::kMemoryMegabytes)}},
                 .backends = {backend}},
                *processes, *http, stop)
                .value();
    ConfigDocument config;
    config.workspaces = {{.name = key.config.workspace,
                          .rate_per_second = 1000,
                          .burst = 1000,
                          .weight = 1}};
    config.keys = {key.config};
    config.routes = {{.name = kModel}};
    REQUIRE(fleet->Start(config));
    client = std::make_unique<tools::ApiClient>(*http, fleet->EntryUrl(kEntry),
                                                key.token);
    REQUIRE(IsServed());
  }

  // Sends an ordinary request through the entry and the agent until it is
  // served. Returns false if none is.
  bool IsServed() {
    const TimePoint end = BootClock::now() + std::chrono::milliseconds(60000);
    while (BootClock::now() < end && processes->IsRunning(kEntry)) {
      if (client->Chat({.model = kModel,
                        .prompt = "p",
                        .max_tokens = 1,
                        .timeout = std::chrono::milliseconds(5000)})) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  // Runs a crowd against a port of an entry or an agent and checks the process.
  void Check(const std::string& process, ClientCrowd::Options options) {
    CrowdWatch watch(*processes, process, {options.port});
    const size_t connections = options.connections;
    {
      ClientCrowd crowd(std::move(options));
      crowd.Run([&] { watch.Observe(); });
    }
    watch.Check(connections);
    CHECK(IsServed());
  }

  void CheckAllKinds(const std::string& process, std::uint16_t port) {
    for (const UntrustedClientKind& kind : UntrustedClientKinds()) {
      CAPTURE(kind.name);
      Check(process, {.port = port,
                      .connections = kSmallCrowd,
                      .head = kind.head,
                      .repeat = kind.repeat,
                      .bytes_per_connection = kind.bytes_per_connection});
    }
  }
};

// Guards against limits of frontends that entries do not have.
TEST_CASE_FIXTURE(UntrustedFleetFixture,
                  "Entry, untrusted clients on the client port, stays within "
                  "its memory") {
  Start();
  CheckAllKinds(kEntry, fleet->PortsOfEntry(kEntry).clients);
}

// Guards against memory beside the bytes that count.
TEST_CASE_FIXTURE(UntrustedFleetFixture,
                  "Entry, many bodies that stop just short, stays within its "
                  "memory") {
  Start();
  Check(kEntry,
        {.port = fleet->PortsOfEntry(kEntry).clients,
         .connections = kLargeCrowd,
         .head = UntrustedFrontendFixture::Post("Content-Length: 4194304"),
         .repeat = std::string(UntrustedFrontendFixture::kPayloadBytes, 'x'),
         .bytes_per_connection = 4 * kMegabyte});
}

// Guards against files that are copied or wait without a limit on their sum
// once they are complete.
TEST_CASE_FIXTURE(UntrustedFleetFixture,
                  "Entry, uploads of many files, stays within its memory") {
  Start();
  const std::string head =
      "POST /v1/files HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
      key.token + "\r\nContent-Length: 4194304\r\n\r\n";
  Check(kEntry,
        {.port = fleet->PortsOfEntry(kEntry).clients,
         .connections = kSmallCrowd,
         .head = head,
         .repeat = std::string(UntrustedFrontendFixture::kPayloadBytes, 'x'),
         .bytes_per_connection = head.size() + 4 * kMegabyte});
}

// Guards against the same on the operators' port.
TEST_CASE_FIXTURE(UntrustedFleetFixture,
                  "Entry, untrusted clients on the operators' port, stays "
                  "within its memory") {
  Start();
  CheckAllKinds(kEntry, fleet->PortsOfEntry(kEntry).admin);
}

}  // namespace
}  // namespace carawayrelay

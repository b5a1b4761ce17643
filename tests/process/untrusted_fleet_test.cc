#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

#include "connection/link.h"
#include "connection/wire_codec.h"
#include "harness/api_client.h"
#include "harness/curl_http_client.h"
#include "harness/fleet.h"
#include "harness/stop_signal.h"
#include "harness/test_key.h"
#include "process/descriptor_limit.h"
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
    return WaitUntilServed(*processes, kEntry, [&] {
      return bool(client->Chat({.model = kModel,
                                .prompt = "p",
                                .max_tokens = 1,
                                .timeout = std::chrono::milliseconds(5000)}));
    });
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

  // The crowds that a port for connections between processes must bear.
  void CheckLinks(const std::string& process, std::uint16_t port) {
    const std::string announced = FrameOfLength(Link::kMaxFrameBytes);
    const std::string hello = Frame(
        Encode(Hello{.node = "unknown", .role = Role::kEntry, .zone = "z"}));
    const std::string payload(UntrustedFrontendFixture::kPayloadBytes, 'x');
    SUBCASE("frame announced and not sent") {
      Check(process, {.port = port,
                      .connections = kSmallCrowd,
                      .head = announced,
                      .repeat = "x",
                      .bytes_per_connection = announced.size()});
    }
    SUBCASE("frame that stops short") {
      Check(process, {.port = port,
                      .connections = kSmallCrowd,
                      .head = announced,
                      .repeat = payload,
                      .bytes_per_connection = Link::kMaxFrameBytes});
    }
    SUBCASE("frame that stops short after Hello") {
      Check(process, {.port = port,
                      .connections = kSmallCrowd,
                      .head = hello + announced,
                      .repeat = payload,
                      .bytes_per_connection = Link::kMaxFrameBytes});
    }
    SUBCASE("frame that stops short after Hello of an agent") {
      const std::string agent = Frame(
          Encode(Hello{.node = "unknown", .role = Role::kAgent, .zone = "z"}));
      Check(process, {.port = port,
                      .connections = kSmallCrowd,
                      .head = agent + announced,
                      .repeat = payload,
                      .bytes_per_connection = Link::kMaxFrameBytes});
    }
    SUBCASE("no frame") {
      Check(process, {.port = port,
                      .connections = kLargeCrowd,
                      .head = payload,
                      .repeat = payload,
                      .bytes_per_connection = kMegabyte});
    }
    SUBCASE("Hello again and again") {
      Check(process, {.port = port,
                      .connections = kLargeCrowd,
                      .head = hello,
                      .repeat = hello,
                      .bytes_per_connection = kMegabyte / 4});
    }
    SUBCASE("heartbeats without end") {
      Check(process, {.port = port,
                      .connections = kSmallCrowd,
                      .head = hello,
                      .repeat = std::string(4096, '\0'),
                      .bytes_per_connection = kMegabyte});
    }
  }

  static std::string FrameOfLength(size_t length) {
    std::string header;
    for (const int shift : {24, 16, 8, 0}) {
      header.push_back(static_cast<char>((length >> shift) & 0xFF));
    }
    return header;
  }
  static std::string Frame(const std::string& payload) {
    return FrameOfLength(payload.size()) + payload;
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

// Guards against frames that take memory before their bytes have arrived, and
// against connections of unknown processes without a limit.
TEST_CASE_FIXTURE(UntrustedFleetFixture,
                  "Entry, untrusted clients on the port for links, stays "
                  "within its memory") {
  Start();
  CheckLinks(kEntry, fleet->PortsOfEntry(kEntry).link);
}

// Guards against the same for an agent, whose only port this is.
TEST_CASE_FIXTURE(UntrustedFleetFixture,
                  "Agent, untrusted clients on the port for links, stays "
                  "within its memory") {
  Start();
  CheckLinks(kAgent, fleet->PortsOfBackend(kAgent).link);
}

// Guards against a port for links that accepts until no descriptor is left for
// the backend server.
TEST_CASE_FIXTURE(UntrustedFleetFixture,
                  "Agent, more connections than descriptors, serves "
                  "afterwards") {
  constexpr rlim_t kDescriptors = 300;
  {
    const ScopedDescriptorLimit limit(kDescriptors);
    Start();
  }
  Check(kAgent, {.port = fleet->PortsOfBackend(kAgent).link,
                 .connections = kLargeCrowd,
                 .head = "x",
                 .repeat = "x",
                 .bytes_per_connection = 1});
}

}  // namespace
}  // namespace carawayrelay

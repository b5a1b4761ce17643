#include <doctest/doctest.h>

#include "process/backend_fixture.h"

namespace carawayrelay {
namespace {

struct EngineClientFixture : BackendFixture {
  Ring<EngineEvent> events{64};
  std::unique_ptr<EngineClient> client;

  EngineClientFixture() : BackendFixture("127.0.0.1:18431") {
    Connect(BackendKind::kModel, url());
  }
  ~EngineClientFixture() { client->Stop(); }

  void Connect(BackendKind kind, std::string to) {
    client = EngineClient::Make(
                 {.url = std::move(to), .kind = kind, .request_id_prefix = "p"},
                 [this](EngineEvent event) { events.Push(std::move(event)); })
                 .value();
  }
  // Waits for an event of type T and drops those before it.
  template <class T>
  std::optional<T> Next() {
    const TimePoint limit = BootClock::now() + kWaitTimeout;
    while (std::optional<EngineEvent> event = events.PopUntil(limit)) {
      if (auto* found = std::get_if<T>(&*event)) {
        return std::move(*found);
      }
    }
    return std::nullopt;
  }
};

TEST_CASE_FIXTURE(EngineClientFixture,
                  "EngineClient, stream, sends headers and returns the parts") {
  client->Start({.call = CallId{1},
                 .body = "go",
                 .stream = true,
                 .chunk = ChunkRef{"j", 3, Fence{9}}});
  CHECK(Next<EngineStarted>());
  CHECK(Next<EnginePart>()->data == "data: {\"id\":\"p-1\"}\n\n");
  CHECK(Next<EnginePart>()->data == "data: [DONE]\n\n");
  CHECK(Next<EngineEnd>()->http_status == 200);
  const auto request = NextRequest();
  REQUIRE(request);
  CHECK(request->method == "POST");
  CHECK(request->body == "go");
  CHECK(request->headers.at("x-fencing-scope") == "j/3");
  CHECK(request->headers.at("x-fencing-number") == "9");
}

// Guards against batch streams that go on in the engine after they made room.
TEST_CASE_FIXTURE(EngineClientFixture,
                  "EngineClient, cancelled call, closes the connection") {
  client->Start({.call = CallId{1}, .body = "hold", .stream = true});
  CHECK(Next<EnginePart>());
  client->Cancel(CallId{1});
  CHECK(Next<EngineCancelled>());
  CHECK(IsOpenExchangeClosed());
}

// Guards against `not_run` for a call that the engine has begun.
TEST_CASE_FIXTURE(EngineClientFixture,
                  "EngineClient, broken calls, tell the true run state") {
  client->Start({.call = CallId{1}, .body = "break", .stream = true});
  CHECK(Next<EngineFailed>()->run_state == RunState::kRan);
  client->Start({.call = CallId{2}, .body = "busy", .stream = true});
  CHECK(Next<EngineFailed>()->run_state == RunState::kNotRun);
  server->Stop();
  client->Start({.call = CallId{3}, .body = "go", .stream = true});
  CHECK(Next<EngineFailed>()->run_state == RunState::kNotRun);
}

TEST_CASE_FIXTURE(EngineClientFixture,
                  "EngineClient, plain service, forwards method and path") {
  Connect(BackendKind::kService, url());
  client->Start(
      {.call = CallId{1}, .method = "PUT", .path = "/a/../b?c=d", .body = "x"});
  CHECK(Next<EnginePart>()->data == "x");
  const auto end = Next<EngineEnd>();
  REQUIRE(end);
  CHECK(end->http_status == 201);
  CHECK(end->content_type == "text/plain");
  const auto request = NextRequest();
  REQUIRE(request);
  CHECK(request->method == "PUT");
  CHECK(request->path == "/a/../b");
  CHECK(request->query == "c=d");
}

TEST_CASE_FIXTURE(EngineClientFixture,
                  "LoadWatch, engine up and gone, reports both") {
  Ring<LoadReport> reports{64};
  const auto watch =
      LoadWatch::Make({.url = url(), .interval = std::chrono::milliseconds(20)},
                      [&](LoadReport report) { reports.TryPush(report); })
          .value();
  CHECK(reports.Pop()->waiting == 2);
  server->Stop();
  const TimePoint limit = BootClock::now() + kWaitTimeout;
  std::optional<LoadReport> report;
  do {
    report = reports.PopUntil(limit);
  } while (report && report->is_reachable);
  CHECK(report);
}

}  // namespace
}  // namespace carawayrelay

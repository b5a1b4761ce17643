#include <doctest/doctest.h>

#include "process/backend_fixture.h"

namespace carawayrelay {
namespace {

struct BackendClientFixture : BackendFixture {
  Ring<BackendEvent> events{64};
  std::unique_ptr<BackendClient> client;

  BackendClientFixture() : BackendFixture("127.0.0.1:18431") {
    Connect(BackendKind::kModel, url());
  }
  ~BackendClientFixture() { client->Stop(); }

  void Connect(BackendKind kind, std::string to) {
    client = BackendClient::Make(
                 {.url = std::move(to), .kind = kind, .request_id_prefix = "p"},
                 [this](BackendEvent event) { events.Push(std::move(event)); })
                 .value();
  }
  // Waits for an event of type T and drops those before it.
  template <class T>
  std::optional<T> Next() {
    const TimePoint limit = BootClock::now() + kWaitTimeout;
    while (std::optional<BackendEvent> event = events.PopUntil(limit)) {
      if (auto* found = std::get_if<T>(&*event)) {
        return std::move(*found);
      }
    }
    return std::nullopt;
  }
};

TEST_CASE_FIXTURE(
    BackendClientFixture,
    "BackendClient, streaming call, sends headers and returns the parts") {
  client->Start({.call = CallId{1},
                 .body = "go",
                 .stream = true,
                 .chunk = ChunkRef{"j", 3, Fence{9}}});
  CHECK(Next<BackendStarted>());
  CHECK(Next<BackendPart>()->data == "data: {\"id\":\"p-1\"}\n\n");
  CHECK(Next<BackendPart>()->data == "data: [DONE]\n\n");
  CHECK(Next<BackendEnd>()->http_status == 200);
  const auto request = NextRequest();
  REQUIRE(request);
  CHECK(request->method == "POST");
  CHECK(request->body == "go");
  CHECK(request->headers.at("x-fencing-scope") == "j/3");
  CHECK(request->headers.at("x-fencing-number") == "9");
}

// Guards against batch calls that still run on the backend server after they
// were cancelled to free their slots.
TEST_CASE_FIXTURE(BackendClientFixture,
                  "BackendClient, cancelled call, closes the connection") {
  client->Start({.call = CallId{1}, .body = "hold", .stream = true});
  CHECK(Next<BackendPart>());
  client->Cancel(CallId{1});
  CHECK(Next<BackendCancelled>());
  CHECK(IsOpenExchangeClosed());
}

// Guards against run state `not_run` for a call that the backend server has
// started.
TEST_CASE_FIXTURE(BackendClientFixture,
                  "BackendClient, failed calls, report the run state") {
  client->Start({.call = CallId{1}, .body = "break", .stream = true});
  CHECK(Next<BackendFailed>()->run_state == RunState::kRan);
  client->Start({.call = CallId{2}, .body = "busy", .stream = true});
  CHECK(Next<BackendFailed>()->run_state == RunState::kNotRun);
  server->Stop();
  client->Start({.call = CallId{3}, .body = "go", .stream = true});
  CHECK(Next<BackendFailed>()->run_state == RunState::kNotRun);
}

TEST_CASE_FIXTURE(BackendClientFixture,
                  "BackendClient, service backend, forwards method and path") {
  Connect(BackendKind::kService, url());
  client->Start(
      {.call = CallId{1}, .method = "PUT", .path = "/a/../b?c=d", .body = "x"});
  CHECK(Next<BackendPart>()->data == "x");
  const auto end = Next<BackendEnd>();
  REQUIRE(end);
  CHECK(end->http_status == 201);
  CHECK(end->content_type == "text/plain");
  const auto request = NextRequest();
  REQUIRE(request);
  CHECK(request->method == "PUT");
  CHECK(request->path == "/a/../b");
  CHECK(request->query == "c=d");
}

TEST_CASE_FIXTURE(BackendClientFixture,
                  "LoadPoller, backend server up then stopped, reports both") {
  Ring<LoadReport> reports{64};
  const auto watch =
      LoadPoller::Make(
          {.url = url(), .interval = std::chrono::milliseconds(20)},
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

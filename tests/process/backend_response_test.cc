#include <doctest/doctest.h>

#include "carawayrelay/process.h"

namespace carawayrelay {
namespace {

struct BackendResponseFixture {
  BackendResponse::Options options{.stream = true, .request_id = "r1"};

  BackendResponse Make(int status, std::string content_type) const {
    BackendResponse response(options);
    response.OnHeaders(status, std::move(content_type));
    return response;
  }
  BackendResponse MakeStream() const {
    return Make(200, "text/event-stream; charset=utf-8");
  }
  // Feeds a whole response and returns how it failed.
  BackendFailed Failure(BackendResponse response, std::string_view data) const {
    const auto fed = response.OnData(data);
    if (!fed) {
      return response.Fail(fed.error().message, true);
    }
    const auto end = response.Finish().end;
    REQUIRE(std::holds_alternative<BackendFailed>(end));
    return std::get<BackendFailed>(end);
  }
  static std::string Event(const std::string& id) {
    return "data: {\"id\":\"" + id +
           "\",\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n";
  }
};

// Guards against an end marker that reaches the caller before the stream is
// known to be whole.
TEST_CASE_FIXTURE(BackendResponseFixture,
                  "EngineResponse, whole stream, keeps the marker to the end") {
  BackendResponse response = MakeStream();
  CHECK(response.OnData(Event("r1") + Event("r1")).value() ==
        Event("r1") + Event("r1"));
  CHECK(response.OnData("data: [DONE]\n\n").value().empty());
  const auto outcome = response.Finish();
  CHECK(outcome.last_part == "data: [DONE]\n\n");
  CHECK(std::get<BackendEnd>(outcome.end).tokens == 2);
}

// Guards against a response of another request and a torn one that pass.
TEST_CASE_FIXTURE(BackendResponseFixture,
                  "EngineResponse, foreign id or no end marker, fails as ran") {
  for (const std::string& text :
       {Event("r1") + Event("r2"), Event("r1"),
        Event("r1") + "data: [DONE]\n\n" + Event("r1"),
        std::string("data: {}\n\ndata: [DONE]\n\n"),
        std::string("data: [DONE]\n\ndata: x")}) {
    CHECK(Failure(MakeStream(), text).run_state == RunState::kRan);
  }
  CHECK(Failure(Make(200, "text/html"), Event("r1")).run_state ==
        RunState::kRan);
}

TEST_CASE_FIXTURE(BackendResponseFixture,
                  "EngineResponse, single JSON response, must repeat the id") {
  options.stream = false;
  BackendResponse response = Make(200, "application/json");
  const std::string body = R"({"id":"r1","usage":{"completion_tokens":3}})";
  CHECK(response.OnData(body).value().empty());
  const auto outcome = response.Finish();
  CHECK(outcome.last_part == body);
  CHECK(std::get<BackendEnd>(outcome.end).tokens == 3);
  CHECK(Failure(Make(200, "application/json"), R"({"id":"r2"})").run_state ==
        RunState::kRan);
  CHECK(Failure(Make(200, "application/json"), R"({"id":"r1")").run_state ==
        RunState::kRan);
}

// Guards against `not_run` for a request that the engine may have run.
TEST_CASE_FIXTURE(BackendResponseFixture,
                  "EngineResponse, error status, tells the true run state") {
  CHECK(Failure(Make(500, ""), "").run_state == RunState::kUnknown);
  CHECK(Failure(Make(503, ""), "").run_state == RunState::kNotRun);
  CHECK(Failure(Make(429, ""), "").run_state == RunState::kNotRun);
  const BackendResponse response(options);
  CHECK(response.Fail("", true).run_state == RunState::kUnknown);
  CHECK(response.Fail("", false).run_state == RunState::kNotRun);
  options.has_checked_fence = true;
  CHECK(Failure(Make(409, ""), "").code == RefusalCode::kFenced);
}

TEST_CASE_FIXTURE(BackendResponseFixture,
                  "EngineResponse, client error or service, passes as it is") {
  BackendResponse rejected = Make(400, "application/json");
  CHECK(rejected.OnData("bad").value().empty());
  const auto outcome = rejected.Finish();
  CHECK(outcome.last_part == "bad");
  CHECK(std::get<BackendEnd>(outcome.end).http_status == 400);
  options.kind = BackendKind::kService;
  BackendResponse service = Make(503, "text/plain");
  CHECK(service.OnData("busy").value() == "busy");
  CHECK(std::get<BackendEnd>(service.Finish().end).http_status == 503);
}

}  // namespace
}  // namespace carawayrelay

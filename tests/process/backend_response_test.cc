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
  // Feeds a complete response that must fail, and returns the failure.
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

// Guards against an end marker that is forwarded to the client before the
// stream is known to be complete.
TEST_CASE_FIXTURE(
    BackendResponseFixture,
    "BackendResponse, complete stream, withholds the end marker until "
    "the transfer ends") {
  BackendResponse response = MakeStream();
  CHECK(response.OnData(Event("r1") + Event("r1")).value() ==
        Event("r1") + Event("r1"));
  CHECK(response.OnData("data: [DONE]\n\n").value().empty());
  const auto outcome = response.Finish();
  CHECK(outcome.last_part == "data: [DONE]\n\n");
  CHECK(std::get<BackendEnd>(outcome.end).tokens == 2);
}

// Guards against forwarding the response to another request, or an incomplete
// one, as a success.
TEST_CASE_FIXTURE(BackendResponseFixture,
                  "BackendResponse, wrong id or no end marker, fails as run") {
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

TEST_CASE_FIXTURE(
    BackendResponseFixture,
    "BackendResponse, JSON response, must repeat the request id") {
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

// Guards against run state `not_run` for a request that the backend server may
// have run.
TEST_CASE_FIXTURE(BackendResponseFixture,
                  "BackendResponse, error status, reports the run state") {
  CHECK(Failure(Make(500, ""), "").run_state == RunState::kUnknown);
  CHECK(Failure(Make(503, ""), "").run_state == RunState::kNotRun);
  CHECK(Failure(Make(429, ""), "").run_state == RunState::kNotRun);
  const BackendResponse response(options);
  CHECK(response.Fail("", true).run_state == RunState::kUnknown);
  CHECK(response.Fail("", false).run_state == RunState::kNotRun);
  options.has_checked_fence = true;
  CHECK(Failure(Make(409, ""), "").code == RefusalCode::kFenced);
}

TEST_CASE_FIXTURE(
    BackendResponseFixture,
    "BackendResponse, client error or service, is forwarded unchanged") {
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

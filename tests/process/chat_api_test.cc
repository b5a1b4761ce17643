#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "carawayrelay/process.h"

namespace carawayrelay {
namespace {

struct ChatApiFixture {
  HttpRequest request{.method = "POST", .path = "/v1/chat/completions"};

  std::variant<ClientRequest, Refusal> Parse(const std::string& body) {
    request.body = body;
    return ParseChatCall(request);
  }
  bool IsInvalid(const std::string& body) {
    const auto parsed = Parse(body);
    const auto* refusal = std::get_if<Refusal>(&parsed);
    return refusal != nullptr && refusal->code == RefusalCode::kInvalidRequest;
  }
};

// Guards against rejecting a lower-case scheme and against copying the key into
// the body.
TEST_CASE_FIXTURE(ChatApiFixture, "ChatApi, valid call, is parsed") {
  request.headers = {{"authorization", "bearer cr_a_b"}, {"x-other", "1"}};
  const auto parsed =
      Parse(R"({"model":"m","messages":[{"role":"user"}],"stream":true})");
  const auto* call = std::get_if<ClientRequest>(&parsed);
  REQUIRE(call != nullptr);
  CHECK(call->route == "m");
  CHECK(call->stream);
  CHECK(call->bearer_token == "cr_a_b");
  CHECK(call->body.find("cr_a_b") == std::string::npos);
}

// Guards against passing a body without the required fields to a backend
// server.
TEST_CASE_FIXTURE(ChatApiFixture, "ChatApi, malformed calls, are refused") {
  CHECK(IsInvalid("{"));
  CHECK(IsInvalid("[]"));
  CHECK(IsInvalid(R"({"messages":[1]})"));
  CHECK(IsInvalid(R"({"model":"m","messages":[]})"));
  CHECK(IsInvalid(R"({"model":"m","messages":[1],"stream":"yes"})"));
}

// Guards against a stack overflow in the JSON writer.
TEST_CASE_FIXTURE(ChatApiFixture, "ChatApi, deep nesting, is refused") {
  const std::string deep(1000000, '[');
  CHECK(IsInvalid(R"({"model":"m","messages":)" + deep));
}

// Guards against passing an API key on to a backend server in the body or path.
TEST_CASE_FIXTURE(ChatApiFixture, "ChatApi, key outside header, is refused") {
  request.headers = {{"authorization", "Bearer cr_a_secret"}};
  CHECK(IsInvalid(
      R"({"model":"m","messages":[1],"api_key":"cr_a_\u0073ecret"})"));
  request.path = "/services/s/x";
  request.query = "key=cr_a_secret";
  CHECK(std::holds_alternative<Refusal>(ParseServiceCall(request)));
}

// Guards against authorizing one model and running another.
TEST_CASE_FIXTURE(ChatApiFixture,
                  "ChatApi, repeated model field, forwards one") {
  const auto parsed = Parse(R"({"model":"a","messages":[1],"model":"b"})");
  const auto& call = std::get<ClientRequest>(parsed);
  const auto body = nlohmann::json::parse(call.body);
  CHECK(body["model"] == call.route);
  CHECK(call.body.find("\"model\"") == call.body.rfind("\"model\""));
}

// Guards against losing the method, the rest of the path or the query.
TEST_CASE_FIXTURE(ChatApiFixture,
                  "ChatApi, service call, keeps path and query") {
  request = {.method = "PUT", .path = "/services/s/a/b", .query = "q=1"};
  const auto parsed = ParseServiceCall(request);
  const auto* call = std::get_if<ClientRequest>(&parsed);
  REQUIRE(call != nullptr);
  CHECK(call->route == "s");
  CHECK(call->path == "/a/b?q=1");
  CHECK(call->method == "PUT");
}

// Guards against sending the [DONE] event to a client before the response is
// known to be complete, and against removing the same text from inside a
// string.
TEST_CASE_FIXTURE(ChatApiFixture, "WithoutDoneEvent, done event, is removed") {
  CHECK(WithoutDoneEvent("data: {}\n\ndata: [DONE]\n\n") == "data: {}\n\n");
  CHECK(WithoutDoneEvent("data: [DONE]\n\n").empty());
  const std::string quoted = "data: {\"a\":\"data: [DONE]\"}\n\n";
  CHECK(WithoutDoneEvent(quoted) == quoted);
}

// Guards against missing fields, and against a failure to serialize a reason
// that is not valid UTF-8.
TEST_CASE_FIXTURE(ChatApiFixture, "ToJson, refusal, contains all fields") {
  const auto error = nlohmann::json::parse(
      ToJson({.code = RefusalCode::kRateLimited,
              .reason = "bad \xff byte",
              .retry_after = std::chrono::milliseconds(1500)}))["error"];
  CHECK(error["code"] == "rate_limited");
  CHECK(error["type"] == "rate_limit_error");
  CHECK(error["run_state"] == "not_run");
  CHECK(error["retry_after"] == 1.5);
}

}  // namespace
}  // namespace carawayrelay

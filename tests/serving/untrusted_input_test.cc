#include <stdexcept>

#include "platform/client_codec.h"
#include "platform/job_codec.h"
#include "platform/store_codec.h"
#include "process/serving/run_step.h"
#include "property.h"
#include "serving/job_fixture.h"

namespace carawayrelay {
namespace {

struct UntrustedInputFixture : JobFixture {
  static std::string SubmissionWith(const std::string& name,
                                    const std::string& value) {
    return nlohmann::json{
        {"items",
         {{{"id", "i"}, {"path", "/b/1"}, {"headers", {{name, value}}}}}}}
        .dump();
  }
  Result<ClientCall> CallWithId(const std::string& id) const {
    return platform::DecodeClientCall(
        {.method = "POST",
         .path = "/b/1",
         .headers = {{"host", "h"}, {"x-carawayrelay-request-id", id}}},
        now());
  }
};

// Guards against a request inside another one: a line end in a header of an
// item would begin a request of its own on the connection to the backend
// server.
TEST_CASE_FIXTURE(UntrustedInputFixture,
                  "DecodeSubmission, line end in a header, is refused") {
  for (const char* text :
       {"a\r\nb: c", "a\nb", "a\r", "a\r\n\r\nPOST /b/2 HTTP/1.1\r\nhost: h"}) {
    CHECK_FALSE(platform::DecodeSubmission(SubmissionWith("x-a", text)));
    CHECK_FALSE(platform::DecodeSubmission(SubmissionWith(text, "a")));
  }
  const std::string with_path =
      nlohmann::json{
          {"items", {{{"id", "i"}, {"path", "/b/1 HTTP/1.1\r\nx: y"}}}}}
          .dump();
  CHECK_FALSE(platform::DecodeSubmission(with_path));
}

// Guards against an item that runs for another workspace, at another backend
// server or with a length of its own, because its headers say so.
TEST_CASE_FIXTURE(UntrustedInputFixture,
                  "DecodeSubmission, headers of the system, are left out") {
  for (const char* name :
       {"X-Carawayrelay-Tenant", "X-Carawayrelay-Target-Instance",
        "X-Carawayrelay-Request-Id", "X-Api-Key", "Last-Event-Id",
        "X-Carawayrelay-Kv-Hold", "Content-Length", "Transfer-Encoding", "Host",
        "Connection"}) {
    CAPTURE(name);
    const auto items =
        platform::DecodeSubmission(SubmissionWith(name, "other"));
    REQUIRE(items);
    CHECK(items.value()[0].headers.empty());
  }
  const auto items = platform::DecodeSubmission(SubmissionWith("X-Own", "1"));
  REQUIRE(items);
  CHECK(FindHeader(items.value()[0].headers, "x-own") == "1");
}

// Guards against an id that cannot be written to the store: it once was an
// exception that ended the process.
TEST_CASE_FIXTURE(
    UntrustedInputFixture,
    "DecodeClientCall, id that is no printable text, is refused") {
  CHECK(CallWithId("9c41d07be2a35f68"));
  for (const std::string& id :
       {std::string(), std::string("\xff\xfe"), std::string("a b"),
        std::string("a\x01"), std::string(129, 'a')}) {
    CHECK_FALSE(CallWithId(id));
  }
}

// Guards against the same in calls that name a job in their path.
TEST_CASE_FIXTURE(UntrustedInputFixture,
                  "EncodeStoreRequest, any bytes, never throws") {
  CheckProperty("any bytes", [](const std::string& bytes) {
    RowsTransaction transaction;
    transaction.expected.push_back({.key = {.table = "t", .key = bytes}});
    transaction.writes.push_back(
        {.key = {.table = "t", .part = bytes, .key = bytes}, .value = bytes});
    transaction.removals.push_back({.table = bytes, .key = bytes});
    platform::EncodeStoreRequest(transaction);
    platform::EncodeStoreRequest(
        RowsRead{.table = "t", .part = bytes, .from = bytes, .to = bytes});
  });
}

// Guards against a refusal whose reason repeats bytes of the client.
TEST_CASE_FIXTURE(UntrustedInputFixture,
                  "EncodeRefusal, any reason, never throws") {
  CheckProperty("any reason", [](const std::string& reason) {
    platform::EncodeRefusal(
        {.code = RefusalCode::kInvalidRequest, .reason = reason});
  });
}

// Guards against a submission or an answer of the store that ends the process.
TEST_CASE_FIXTURE(UntrustedInputFixture,
                  "Decoders, random and changed bytes, never throw") {
  CheckProperty("random bytes", [](const std::string& bytes) {
    static_cast<void>(platform::DecodeSubmission(bytes));
    static_cast<void>(
        platform::DecodeStoreResponse(RowsRead{.table = "t"}, 200, bytes));
  });
  CheckProperty("changed byte", [] {
    std::string text = Submission(2);
    text[*rc::gen::inRange<size_t>(0, text.size())] =
        *rc::gen::arbitrary<char>();
    static_cast<void>(platform::DecodeSubmission(text));
    std::string row_text =
        R"({"ver":3,"nowMs":5,"hasMore":false,"rows":[{"table":"t",)"
        R"("part":"","key":"k","value":"YQ==","ver":2}]})";
    row_text[*rc::gen::inRange<size_t>(0, row_text.size())] =
        *rc::gen::arbitrary<char>();
    static_cast<void>(
        platform::DecodeStoreResponse(RowsRead{.table = "t"}, 200, row_text));
  });
}

// Guards against one unexpected error that takes the whole process down.
TEST_CASE_FIXTURE(UntrustedInputFixture,
                  "RunStep, step throws, next step runs") {
  int steps = 0;
  RunStep([&] {
    ++steps;
    throw std::runtime_error("unexpected");
  });
  RunStep([&] { ++steps; });
  CHECK(steps == 2);
}

}  // namespace
}  // namespace carawayrelay

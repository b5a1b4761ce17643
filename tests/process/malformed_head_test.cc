#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "harness/curl_http_client.h"
#include "process/answer_cases.h"
#include "process/raw_answer_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Sends an answer to each client of the project that reads answers.
struct MalformedHeadFixture : RawAnswerFixture {
  static constexpr const char* kRequestBody = "x";
  static constexpr milliseconds kTimeout{5000};

  // What a client got: the body of an answer that it took for whole.
  using Answer = std::optional<std::string>;

  Answer AskAsync(const std::string& bytes) {
    Answer answer;
    ServeWhole(bytes, 1, [&] {
      const std::vector<CallEvent> events = EventsOf(kRequestBody);
      const auto& end = std::get<CallEnd>(events.back());
      CHECK(end.was_sent);
      CHECK(end.reason.empty() == end.is_complete);
      if (!end.is_complete) {
        // Nothing of the answer may be passed on before its head is judged.
        CHECK(events.size() == 1);
        return;
      }
      const auto* head = std::get_if<CallHead>(&events[0]);
      REQUIRE(head != nullptr);
      CHECK(head->status == 200);
      answer.emplace();
      for (const CallEvent& event : events) {
        if (const auto* data = std::get_if<CallData>(&event)) {
          *answer += data->bytes;
        }
      }
    });
    return answer;
  }
  Answer AskBlocking(const std::string& bytes) {
    Answer answer;
    const auto client =
        HttpClient::Make({.base_url = "http://" + address()}).value();
    ServeWhole(bytes, 1, [&] {
      const auto response =
          client->Send({.method = "PUT", .target = "/a", .body = kRequestBody});
      if (response) {
        CHECK(response.value().status == 200);
        answer = response.value().body;
      } else {
        CHECK(response.error().code == ErrorCode::kUnknown);
      }
    });
    return answer;
  }
  // Asks as the role agent does.
  Answer AskAsAgent(const std::string& bytes) {
    Answer answer;
    ServeWhole(bytes, 1, [&] {
      const BackendEvent last =
          LastEventOf(BackendKind::kService, kRequestBody);
      if (const auto* end = std::get_if<BackendEnd>(&last)) {
        CHECK(end->http_status == 200);
        answer = "text";
      } else {
        CHECK(std::get<BackendFailed>(last).run_state == RunState::kUnknown);
      }
    });
    return answer;
  }
  // Asks as the load tool does.
  Answer AskAsLoadTool(const std::string& bytes) {
    Answer answer;
    const auto client = tools::CurlHttpClient::Make().value();
    ServeWhole(bytes, 1, [&] {
      const tools::CallResult result =
          client->Run({.method = "POST",
                       .url = "http://" + address() + "/a",
                       .headers = {"Content-Type: text/plain"},
                       .body = kRequestBody,
                       .timeout = kTimeout});
      if (result.transport_error.empty()) {
        CHECK(result.http_status == 200);
        answer = result.body;
      }
    });
    return answer;
  }
  // Sends the answer to a poller of the load, and then a sound report. Returns
  // whether the poller took the first answer for a report.
  bool IsReport(const std::string& bytes) {
    constexpr int kRunning = 7;
    Ring<LoadReport> reports{64};
    std::unique_ptr<LoadPoller> poller;
    std::optional<LoadReport> first;
    ServeWhole(bytes, 0, [&] {
      poller = LoadPoller::Make(
                   {.url = "http://" + address(), .interval = milliseconds(1)},
                   [&](LoadReport report) { reports.TryPush(report); })
                   .value();
    });
    ServeWhole(AnswerWithLines("Content-Length: 13", R"({"running":7})"), 0,
               [&] { first = reports.PopUntil(BootClock::now() + kTimeout); });
    // Another poll may be waiting. Without a server it ends at once.
    acceptor.close();
    poller->Stop();
    Listen();
    REQUIRE(first);
    return first->running != kRunning;
  }

  void CheckRefused(const std::vector<AnswerCase>& cases) {
    for (const AnswerCase& answer : cases) {
      CAPTURE(answer.what);
      CHECK_FALSE(AskAsync(answer.bytes));
      CHECK_FALSE(AskBlocking(answer.bytes));
      CHECK_FALSE(AskAsAgent(answer.bytes));
    }
  }
};

// Guards against an answer that is passed on although the name of a field in
// its head is none: the line may be the one that delimits the body.
TEST_CASE_FIXTURE(MalformedHeadFixture,
                  "HTTP clients, malformed name in the head, is no answer") {
  CheckRefused(AnswersWithMalformedNames());
}

// The same behind the chunks of a body. The head and the body have been passed
// on by then.
TEST_CASE_FIXTURE(MalformedHeadFixture,
                  "HTTP clients, malformed trailer, answer is not whole") {
  for (const std::string line :
       {"X Sum: 1", "X-Sum : 1", " X-Sum: 1", ": 1", "X-Sum"}) {
    CAPTURE(line);
    const std::string answer = AnswerWithLines(
        "Transfer-Encoding: chunked", "4\r\ntext\r\n0\r\n" + line + "\r\n\r\n");
    ServeWhole(answer, 1, [&] {
      CHECK_FALSE(std::get<CallEnd>(EventsOf(kRequestBody).back()).is_complete);
    });
    CHECK_FALSE(AskBlocking(answer));
    ServeWhole(answer, 1, [&] {
      CHECK(std::holds_alternative<BackendFailed>(
          LastEventOf(BackendKind::kService, kRequestBody)));
    });
  }
}

// Guards against control bytes that are passed on to clients.
TEST_CASE_FIXTURE(MalformedHeadFixture,
                  "HTTP clients, control byte in a value, is no answer") {
  CheckRefused(AnswersWithMalformedValues());
}

// Guards against a length that is none and is taken for a number or for no
// length.
TEST_CASE_FIXTURE(MalformedHeadFixture,
                  "HTTP clients, malformed length, is no answer") {
  CheckRefused(AnswersWithMalformedLengths());
}

// Guards against a body whose coding no client decodes.
TEST_CASE_FIXTURE(MalformedHeadFixture,
                  "HTTP clients, malformed transfer coding, is no answer") {
  CheckRefused(AnswersWithMalformedCodings());
}

TEST_CASE_FIXTURE(MalformedHeadFixture,
                  "HTTP clients, malformed status line, is no answer") {
  CheckRefused(AnswersWithMalformedStatusLines());
}

// Guards against other heads that are none, statuses above all.
TEST_CASE_FIXTURE(MalformedHeadFixture,
                  "HTTP clients, other broken heads, are no answer") {
  CheckRefused(OtherBrokenAnswers());
}

// Guards against readers that are too strict and fail sound servers.
TEST_CASE_FIXTURE(MalformedHeadFixture,
                  "HTTP clients, rare and sound heads, are answers") {
  for (const AnswerCase& answer : RareSoundAnswers()) {
    CAPTURE(answer.what);
    CHECK(AskAsync(answer.bytes) == "text");
    CHECK(AskBlocking(answer.bytes) == "text");
    CHECK(AskAsAgent(answer.bytes) == "text");
    CHECK(AskAsLoadTool(answer.bytes) == "text");
    CHECK(IsReport(answer.bytes));
  }
}

// Guards against a body that is cut at the length of an interim answer, or read
// by its coding.
TEST_CASE_FIXTURE(
    MalformedHeadFixture,
    "HTTP clients, interim answer with a length or coding, body is not cut") {
  for (const AnswerCase& answer : AnswersBehindFramedInterimOnes()) {
    CAPTURE(answer.what);
    CHECK(AskAsync(answer.bytes) == "text");
    CHECK(AskBlocking(answer.bytes) == "text");
    CHECK(AskAsAgent(answer.bytes) == "text");
  }
}

// Every list, for the readers that ask for reports and for the load tool.
struct MalformedReportFixture : MalformedHeadFixture {
  static std::vector<AnswerCase> AllBroken() {
    std::vector<AnswerCase> all;
    for (const auto& cases :
         {AnswersWithMalformedNames(), AnswersWithMalformedValues(),
          AnswersWithMalformedLengths(), AnswersWithMalformedCodings(),
          AnswersWithMalformedStatusLines(), OtherBrokenAnswers()}) {
      all.insert(all.end(), cases.begin(), cases.end());
    }
    return all;
  }
};

// Guards against a report of load that is read from a broken answer.
TEST_CASE_FIXTURE(MalformedReportFixture,
                  "LoadPoller, broken head, is no report") {
  for (const AnswerCase& answer : AllBroken()) {
    CAPTURE(answer.what);
    CHECK_FALSE(IsReport(answer.bytes));
  }
}

// Guards against a load tool that takes a broken answer of the system for a
// sound one.
TEST_CASE_FIXTURE(MalformedReportFixture,
                  "Load tool, broken head, is no answer") {
  for (const AnswerCase& answer : AllBroken()) {
    CAPTURE(answer.what);
    CHECK_FALSE(AskAsLoadTool(answer.bytes));
  }
}

}  // namespace
}  // namespace carawayrelay

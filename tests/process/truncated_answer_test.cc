#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "process/raw_answer_fixture.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// A server that sends the beginning of an answer and closes the connection.
struct TruncatedAnswerFixture : RawAnswerFixture {
  static constexpr const char* kHead =
      "HTTP/1.1 200 OK\r\n"
      "Content-Type: text/event-stream\r\n"
      "X-Stamp: s\r\n"
      "\r\n";

  // Answers one request with the first `bytes` bytes of the head, while `call`
  // runs.
  template <class Call>
  void Serve(size_t bytes, const Call& call) {
    std::thread server([&] {
      asio::ip::tcp::socket socket = acceptor.accept();
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n");
      asio::write(socket, asio::buffer(std::string(kHead).substr(0, bytes)));
    });
    call();
    server.join();
  }

  static constexpr size_t kHeadBytes = std::char_traits<char>::length(kHead);
  // More than the buffers of a connection hold.
  static constexpr size_t kLongUpload = size_t{32} << 20;
  static constexpr std::array<milliseconds, 6> kDelays = {
      milliseconds(0),  milliseconds(1),  milliseconds(5),
      milliseconds(20), milliseconds(60), milliseconds(200)};
  static constexpr const char* kPartOfAnswer =
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart";
  // Statuses that no answer has.
  static constexpr std::array<const char*, 6> kNoStatuses = {
      "000", "001", "099", "100", "600", "999"};
  static std::string AnswerWithStatus(const std::string& status) {
    return "HTTP/1.1 " + status +
           " Odd\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
           "text";
  }
};

// Guards against a part of an answer that is taken for the whole: the server
// answers a long upload without a length and resets the connection while the
// upload is still being written.
TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "AsyncHttpClient, reset during the upload, call is not "
                  "complete") {
  for (const milliseconds delay : kDelays) {
    CAPTURE(delay.count());
    ServeAndReset(kPartOfAnswer, delay, [&] {
      const std::vector<CallEvent> events =
          EventsOf(std::string(kLongUpload, 'x'));
      const auto& end = std::get<CallEnd>(events.back());
      CHECK_FALSE(end.is_complete);
      CHECK(end.was_dropped);
      CHECK_FALSE(end.reason.empty());
    });
  }
}

TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "HttpClient, reset during the upload, fails with unknown") {
  const auto client =
      HttpClient::Make({.base_url = "http://" + address()}).value();
  for (const milliseconds delay : kDelays) {
    CAPTURE(delay.count());
    ServeAndReset(kPartOfAnswer, delay, [&] {
      const auto response =
          client->Send({.method = "PUT",
                        .target = "/a",
                        .body = std::string(kLongUpload, 'x')});
      REQUIRE_FALSE(response);
      CHECK(response.error().code == ErrorCode::kUnknown);
    });
  }
}

TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "BackendClient, reset during the upload, call fails") {
  for (const milliseconds delay : kDelays) {
    CAPTURE(delay.count());
    ServeAndReset(kPartOfAnswer, delay, [&] {
      const BackendEvent last =
          LastEventOf(BackendKind::kService, std::string(kLongUpload, 'x'));
      REQUIRE(std::holds_alternative<BackendFailed>(last));
      CHECK(std::get<BackendFailed>(last).run_state != RunState::kNotRun);
    });
  }
}

// The same when the server ends its side of the connection first: libcurl takes
// that for the end of the answer.
TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "HTTP clients, answer without a length ends during the "
                  "upload, is not complete") {
  const std::string upload(kLongUpload, 'x');
  ServeAndHalfClose(kPartOfAnswer, [&] {
    const std::vector<CallEvent> events = EventsOf(upload);
    const auto& end = std::get<CallEnd>(events.back());
    CHECK_FALSE(end.is_complete);
    CHECK(end.was_dropped);
  });
  const auto client =
      HttpClient::Make({.base_url = "http://" + address()}).value();
  ServeAndHalfClose(kPartOfAnswer, [&] {
    const auto response =
        client->Send({.method = "PUT", .target = "/a", .body = upload});
    REQUIRE_FALSE(response);
    CHECK(response.error().code == ErrorCode::kUnknown);
  });
  ServeAndHalfClose(kPartOfAnswer, [&] {
    CHECK(std::holds_alternative<BackendFailed>(
        LastEventOf(BackendKind::kService, upload)));
  });
}

// Guards against calls that fail although their answers are whole: they end
// with the connection, or come before the upload is over.
TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "HTTP clients, whole answers without a length, are "
                  "complete") {
  const std::string body(1000, 'x');
  ServeWhole(kPartOfAnswer, body.size(), [&] {
    const std::vector<CallEvent> events = EventsOf(body);
    CHECK(std::get<CallEnd>(events.back()).is_complete);
  });
  ServeWhole(kPartOfAnswer, body.size(), [&] {
    CHECK(std::holds_alternative<BackendEnd>(
        LastEventOf(BackendKind::kService, body)));
  });
  const auto client =
      HttpClient::Make({.base_url = "http://" + address()}).value();
  ServeWhole(kPartOfAnswer, body.size(), [&] {
    CHECK(client->Send({.method = "PUT", .target = "/a", .body = body}));
  });
  ServeAndReset(AnswerWithStatus("413"), milliseconds(100), [&] {
    const std::vector<CallEvent> events =
        EventsOf(std::string(kLongUpload, 'x'));
    CHECK(std::get<CallEnd>(events.back()).is_complete);
  });
}

// Guards against bytes with a status that is none and that reach a client as an
// answer.
TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "AsyncHttpClient, status that is none, is no answer") {
  for (const char* status : kNoStatuses) {
    CAPTURE(std::string(status));
    ServeWhole(AnswerWithStatus(status), 1, [&] {
      const std::vector<CallEvent> events = EventsOf("x");
      CHECK(events.size() == 1);
      CHECK_FALSE(std::get<CallEnd>(events.back()).is_complete);
    });
  }
}

TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "HttpClient, status that is none, fails with unknown") {
  for (const char* status : kNoStatuses) {
    CAPTURE(std::string(status));
    const auto client =
        HttpClient::Make({.base_url = "http://" + address()}).value();
    ServeWhole(AnswerWithStatus(status), 0, [&] {
      const auto response = client->Send({.method = "PUT", .target = "/a"});
      REQUIRE_FALSE(response);
      CHECK(response.error().code == ErrorCode::kUnknown);
    });
  }
}

TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "BackendClient, status that is none, call fails") {
  for (const char* status : kNoStatuses) {
    CAPTURE(std::string(status));
    ServeWhole(AnswerWithStatus(status), 1, [&] {
      CHECK(std::holds_alternative<BackendFailed>(
          LastEventOf(BackendKind::kService, "x")));
    });
  }
}

// Guards against a report of load that is none. Each poller asks only once: a
// connection left waiting would be served in place of the next poller's.
TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "LoadPoller, answer that is no success, is no report") {
  for (const char* status : {"000", "600", "500"}) {
    CAPTURE(std::string(status));
    Ring<LoadReport> reports{64};
    std::unique_ptr<LoadPoller> poller;
    ServeWhole(AnswerWithStatus(status), 0, [&] {
      poller =
          LoadPoller::Make(
              {.url = "http://" + address(), .interval = milliseconds(10000)},
              [&](LoadReport report) { reports.TryPush(report); })
              .value();
      CHECK_FALSE(reports.PopUntil(BootClock::now() + milliseconds(300)));
      poller->Stop();
    });
  }
}

// Guards against an answer that breaks off inside its head and is taken for a
// whole one with an empty body.
TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "AsyncHttpClient, head breaks off, call is not complete") {
  for (size_t bytes = 0; bytes <= kHeadBytes; ++bytes) {
    CAPTURE(bytes);
    Ring<CallEvent> events{64};
    const auto client = AsyncHttpClient::Make({}, [&](CallEvent event) {
                          events.Push(std::move(event));
                        }).value();
    Serve(bytes, [&] {
      client->Start({.id = OutboundCallId{1},
                     .address = address(),
                     .method = "GET",
                     .target = "/"});
      while (auto event =
                 events.PopUntil(BootClock::now() + milliseconds(5000))) {
        if (const auto* end = std::get_if<CallEnd>(&*event)) {
          CHECK(end->is_complete == (bytes == kHeadBytes));
          CHECK(end->reason.empty() == end->is_complete);
          CHECK(end->was_sent);
          break;
        }
        CHECK(bytes == kHeadBytes);
      }
    });
  }
}

TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "HttpClient, head breaks off, fails with unknown") {
  for (size_t bytes = 0; bytes <= kHeadBytes; ++bytes) {
    CAPTURE(bytes);
    const auto client =
        HttpClient::Make({.base_url = "http://" + address()}).value();
    Serve(bytes, [&] {
      const auto response = client->Send({.method = "PUT", .target = "/a"});
      CHECK(response.has_value() == (bytes == kHeadBytes));
      if (!response) {
        CHECK(response.error().code == ErrorCode::kUnknown);
      }
    });
  }
}

TEST_CASE_FIXTURE(TruncatedAnswerFixture,
                  "BackendClient, head breaks off, call fails as unknown") {
  BackendKind kind{};
  SUBCASE("model engine") {
    kind = BackendKind::kModel;
  }
  SUBCASE("plain service") {
    kind = BackendKind::kService;
  }
  for (size_t bytes = 0; bytes < kHeadBytes; ++bytes) {
    CAPTURE(bytes);
    Ring<BackendEvent> events{64};
    const auto client =
        BackendClient::Make(
            {.url = "http://" + address(), .kind = kind},
            [&](BackendEvent event) { events.Push(std::move(event)); })
            .value();
    Serve(bytes, [&] {
      client->Start({.call = CallId{1}, .method = "POST", .path = "/"});
      const auto event = events.PopUntil(BootClock::now() + milliseconds(5000));
      REQUIRE(event);
      const auto* failed = std::get_if<BackendFailed>(&*event);
      REQUIRE(failed != nullptr);
      CHECK(failed->run_state == RunState::kUnknown);
    });
  }
}

}  // namespace
}  // namespace carawayrelay

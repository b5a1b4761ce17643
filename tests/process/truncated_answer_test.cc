#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <variant>

#include "carawayrelay/process.h"

namespace carawayrelay {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// A server that sends the beginning of an answer and closes the connection.
struct TruncatedAnswerFixture {
  static constexpr const char* kHead =
      "HTTP/1.1 200 OK\r\n"
      "Content-Type: text/event-stream\r\n"
      "X-Stamp: s\r\n"
      "\r\n";

  asio::io_context io;
  tcp::acceptor acceptor{io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }
  // Answers one request with the first `bytes` bytes of the head, while `call`
  // runs.
  template <class Call>
  void Serve(size_t bytes, const Call& call) {
    std::thread server([&] {
      tcp::socket socket = acceptor.accept();
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n");
      asio::write(socket, asio::buffer(std::string(kHead).substr(0, bytes)));
    });
    call();
    server.join();
  }
  static constexpr size_t kHeadBytes = std::char_traits<char>::length(kHead);
};

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

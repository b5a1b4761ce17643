#include "process/transport/async_http_client.h"

#include <doctest/doctest.h>

#include <array>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <thread>

#include "process/transport/ring.h"

namespace carawayrelay {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// A server that answers one request with `begin` and then `piece` again and
// again, until the client closes the connection.
struct EndlessAnswerFixture {
  static constexpr size_t kLimit = size_t{256} << 10;
  // A server whose client never closes gives up after this many bytes.
  static constexpr size_t kServerLimit = size_t{256} << 20;

  Ring<CallEvent> events{4096};
  asio::io_context io;
  tcp::acceptor acceptor{io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::unique_ptr<AsyncHttpClient> client =
      AsyncHttpClient::Make({}, [this](CallEvent event) {
        events.Push(std::move(event));
      }).value();
  bool closed_by_client = false;
  size_t received_bytes = 0;

  CallEnd Call(const std::string& begin, const std::string& piece) {
    std::thread server([&] {
      tcp::socket socket = acceptor.accept();
      asio::streambuf request;
      asio::read_until(socket, request, "\r\n\r\n");
      asio::error_code error;
      asio::write(socket, asio::buffer(begin), error);
      for (size_t sent = 0; !error && sent < kServerLimit;
           sent += piece.size()) {
        asio::write(socket, asio::buffer(piece), error);
      }
      closed_by_client = static_cast<bool>(error);
    });
    client->Start({.id = OutboundCallId{1},
                   .address = "127.0.0.1:" +
                              std::to_string(acceptor.local_endpoint().port()),
                   .method = "GET",
                   .target = "/",
                   .max_body_bytes = kLimit});
    CallEnd end;
    while (auto event =
               events.PopUntil(BootClock::now() + milliseconds(20000))) {
      if (const auto* data = std::get_if<CallData>(&*event)) {
        received_bytes += data->bytes.size();
      } else if (auto* last = std::get_if<CallEnd>(&*event)) {
        end = std::move(*last);
        break;
      }
    }
    server.join();
    return end;
  }
};

// Guards against an answer whose body never ends and fills the memory: a store
// stand-in once made a frontend grow to 858 MB.
TEST_CASE_FIXTURE(
    EndlessAnswerFixture,
    "AsyncHttpClient, body without end, call fails at the limit") {
  const CallEnd end = Call("HTTP/1.1 200 OK\r\n\r\n", std::string(4096, 'x'));
  CHECK_FALSE(end.is_complete);
  CHECK(end.reason.find("body is over the limit") != std::string::npos);
  CHECK(closed_by_client);
  CHECK(received_bytes <= kLimit);
}

// Guards against the same with a body in chunks.
TEST_CASE_FIXTURE(
    EndlessAnswerFixture,
    "AsyncHttpClient, chunks without end, call fails at the limit") {
  const CallEnd end =
      Call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
           "1000\r\n" + std::string(4096, 'x') + "\r\n");
  CHECK_FALSE(end.is_complete);
  CHECK(closed_by_client);
  CHECK(received_bytes <= kLimit);
}

// Guards against an answer whose head never ends.
TEST_CASE_FIXTURE(EndlessAnswerFixture,
                  "AsyncHttpClient, headers without end, call fails") {
  const CallEnd end =
      Call("HTTP/1.1 200 OK\r\n", "x-more: " + std::string(1000, 'y') + "\r\n");
  CHECK_FALSE(end.is_complete);
  CHECK(end.reason.find("head is over the limit") != std::string::npos);
  CHECK(closed_by_client);
  CHECK(received_bytes == 0);
}

// Guards against interim answers without end, which are heads too.
TEST_CASE_FIXTURE(EndlessAnswerFixture,
                  "AsyncHttpClient, interim answers without end, call fails") {
  const CallEnd end =
      Call("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n");
  CHECK_FALSE(end.is_complete);
  CHECK(closed_by_client);
}

// Guards against one line of a head that never ends.
TEST_CASE_FIXTURE(EndlessAnswerFixture,
                  "AsyncHttpClient, header line without end, call fails") {
  const CallEnd end =
      Call("HTTP/1.1 200 OK\r\nx-long: ", std::string(4096, 'z'));
  CHECK_FALSE(end.is_complete);
  CHECK(closed_by_client);
}

// Guards against bytes that are no HTTP at all and never end.
TEST_CASE_FIXTURE(EndlessAnswerFixture,
                  "AsyncHttpClient, no HTTP and no end, call fails") {
  const CallEnd end = Call("", std::string(4096, '\x01'));
  CHECK_FALSE(end.is_complete);
  CHECK(closed_by_client);
  CHECK(received_bytes == 0);
}

}  // namespace
}  // namespace carawayrelay

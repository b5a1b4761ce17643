#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <string>
#include <thread>

#include "carawayrelay/process.h"

namespace carawayrelay {
namespace {

using asio::ip::tcp;

struct HttpClientFixture {
  asio::io_context io;
  tcp::acceptor acceptor{io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::unique_ptr<HttpClient> client =
      HttpClient::Make(
          {.base_url = "http://127.0.0.1:" +
                       std::to_string(acceptor.local_endpoint().port())})
          .value();

  static void ReadRequest(tcp::socket& socket) {
    asio::streambuf buffer;
    asio::read_until(socket, buffer, "\r\n\r\n");
  }

  static void Respond(tcp::socket& socket) {
    ReadRequest(socket);
    asio::write(socket, asio::buffer(std::string(
                            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
  }
};

// Guards against reporting a write as not sent although the server received it
// before it terminated. libcurl repeats such a request on a new connection and
// reports only that this connection failed.
TEST_CASE_FIXTURE(
    HttpClientFixture,
    "HttpClient, server closed after reading, fails with unknown") {
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    Respond(socket);
    acceptor.close();
    ReadRequest(socket);
  });
  REQUIRE(client->Send({.method = "PUT", .target = "/a"}));
  const auto lost = client->Send({.method = "PUT", .target = "/b"});
  server.join();
  REQUIRE_FALSE(lost);
  CHECK(lost.error().code == ErrorCode::kUnknown);
  const auto refused = client->Send({.method = "PUT", .target = "/c"});
  REQUIRE_FALSE(refused);
  CHECK(refused.error().code == ErrorCode::kUnavailable);
}

// Guards against a response without end that fills the memory until the time
// limit of the call.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "HttpClient, body without end, fails at the limit") {
  client = HttpClient::Make(
               {.base_url = "http://127.0.0.1:" +
                            std::to_string(acceptor.local_endpoint().port()),
                .request_timeout = std::chrono::milliseconds(20000),
                .max_response_bytes = size_t{1} << 20})
               .value();
  bool closed_by_client = false;
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    ReadRequest(socket);
    asio::error_code error;
    asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\n")),
                error);
    const std::string piece(4096, 'x');
    for (int i = 0; !error && i < 50000; ++i) {
      asio::write(socket, asio::buffer(piece), error);
    }
    closed_by_client = static_cast<bool>(error);
  });
  const auto response = client->Send({.target = "/a"});
  server.join();
  REQUIRE_FALSE(response);
  CHECK(response.error().code == ErrorCode::kUnknown);
  CHECK(closed_by_client);
}

// Guards against treating a conflict as a concurrent write by another client
// when libcurl sent the request twice and the first copy took effect.
TEST_CASE_FIXTURE(
    HttpClientFixture,
    "HttpClient, request repeated by libcurl, sets maybe_repeated") {
  std::thread server([&] {
    {
      tcp::socket socket = acceptor.accept();
      Respond(socket);
      ReadRequest(socket);
    }
    tcp::socket socket = acceptor.accept();
    Respond(socket);
  });
  const auto first = client->Send({.method = "PUT", .target = "/a"});
  REQUIRE(first);
  CHECK_FALSE(first.value().maybe_repeated);
  const auto second = client->Send({.method = "PUT", .target = "/b"});
  server.join();
  REQUIRE(second);
  CHECK(second.value().maybe_repeated);
}

// Guards against fields of interim answers and of trailers that count as fields
// of the answer: a "Retry-After" or an id would be taken from there.
TEST_CASE_FIXTURE(HttpClientFixture,
                  "HttpClient, fields before and after the answer, are not in "
                  "its head") {
  std::thread server([&] {
    tcp::socket socket = acceptor.accept();
    ReadRequest(socket);
    asio::write(socket, asio::buffer(std::string(
                            "HTTP/1.1 103 Early Hints\r\nX-Interim: a\r\n\r\n"
                            "HTTP/1.1 200 OK\r\nX-Final: b\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "0\r\nX-Trailer: c\r\n\r\n")));
  });
  const auto response = client->Send({.target = "/a"});
  server.join();
  REQUIRE(response);
  CHECK(response.value().Header("x-interim").empty());
  CHECK(response.value().Header("x-final") == "b");
  CHECK(response.value().Header("x-trailer").empty());
}

}  // namespace
}  // namespace carawayrelay

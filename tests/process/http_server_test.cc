#include <curl/curl.h>
#include <doctest/doctest.h>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "carawayrelay/process.h"
#include "process/transport/endpoint.h"
#include "process/transport/request_memory_budget.h"

namespace carawayrelay {
namespace {

constexpr const char* kAddress = "127.0.0.1:18471";

struct HttpServerFixture {
  struct Response {
    CURLcode code = CURLE_OK;
    long status = 0;
    std::string body;
  };

  std::unique_ptr<HttpServer> Serve(HttpServer::Handler handler) {
    auto server = HttpServer::Make(
        {.listen_address = kAddress, .limits = {.body_bytes = 1000}},
        std::move(handler));
    REQUIRE(server);
    return std::move(server).value();
  }

  static size_t Append(char* data, size_t size, size_t count, void* body) {
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
  }

  static asio::ip::tcp::socket Connect(asio::io_context& io) {
    asio::ip::tcp::socket socket(io);
    socket.connect(ParseEndpoint(kAddress).value());
    return socket;
  }

  // Sends the pieces one after the other and returns what the server sends
  // until it closes the connection.
  static std::string Exchange(const std::vector<std::string>& pieces) {
    asio::io_context io;
    auto socket = Connect(io);
    for (const std::string& piece : pieces) {
      asio::write(socket, asio::buffer(piece));
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
    std::string answer;
    asio::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
  }

  Response Post(const std::string& path, const std::string& body) {
    Response response;
    CURL* curl = curl_easy_init();
    const std::string url = std::string("http://") + kAddress + path;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, Append);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &response.body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT, 5L);
    response.code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &response.status);
    curl_easy_cleanup(curl);
    return response;
  }
};

// Guards against a stream that loses or reorders its parts.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, ended stream, arrives complete") {
  auto server = Serve([](const HttpRequest& request, HttpExchangePtr exchange) {
    exchange->StartStream(200, {{"Content-Type", "text/event-stream"}});
    exchange->SendPart("a");
    exchange->SendPart(request.body);
    exchange->EndStream();
  });
  const Response response = Post("/x", "body");
  CHECK(response.code == CURLE_OK);
  CHECK(response.status == 200);
  CHECK(response.body == "abody");
}

// Guards against an aborted response that looks complete to the client.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, aborted stream, is an error for the client") {
  auto server = Serve([](const HttpRequest&, HttpExchangePtr exchange) {
    exchange->StartStream(200, {});
    exchange->SendPart("a");
    exchange->Abort();
  });
  const Response response = Post("/x", "body");
  CHECK(response.code != CURLE_OK);
  CHECK(response.code != CURLE_OPERATION_TIMEDOUT);
}

// Guards against a client that waits forever because the handler dropped the
// request.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, dropped exchange, closes the connection") {
  auto server = Serve([](const HttpRequest&, const HttpExchangePtr&) {});
  const Response response = Post("/x", "body");
  CHECK(response.code != CURLE_OK);
  CHECK(response.code != CURLE_OPERATION_TIMEDOUT);
}

// Guards against closing the connection without a response to a large body.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, body over the limit, gets 413 with a reason") {
  auto server = Serve([](const HttpRequest&, HttpExchangePtr exchange) {
    exchange->Respond(200, {}, "");
  });
  const Response response = Post("/x", std::string(1001, 'x'));
  CHECK(response.status == 413);
  CHECK(response.body.find("too_large") != std::string::npos);
}

// Guards against chunked bodies, pipelining and Connection: close that stop
// working on a connection that is read in several pieces.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, pipelined requests, are answered in order") {
  auto server = Serve([](const HttpRequest& request, HttpExchangePtr exchange) {
    exchange->Respond(200, {}, "[" + request.path + request.body + "]");
  });
  const std::string answer =
      Exchange({"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nx",
                "yz\r\n1\r\nw\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c",
                " HTTP/1.1\r\nConnection: close\r\n\r\n"});
  const size_t a = answer.find("[/axyzw]");
  const size_t b = answer.find("[/b]");
  const size_t c = answer.find("[/c]");
  REQUIRE(c != std::string::npos);
  CHECK(a < b);
  CHECK(b < c);
}

// Guards against a refusal that promises that a request did not run although
// the handler had it.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, no request memory, refuses as not run") {
  std::atomic<int> runs = 0;
  auto server =
      HttpServer::Make({.listen_address = kAddress,
                        .request_memory = RequestMemoryBudget::Make(3000)},
                       [&](const HttpRequest&, HttpExchangePtr exchange) {
                         ++runs;
                         exchange->Respond(200, {}, "");
                       })
          .value();
  const Response response = Post("/x", std::string(4000, 'x'));
  CHECK(response.status == 503);
  CHECK(response.body.find("\"not_run\"") != std::string::npos);
  CHECK(runs == 0);
  CHECK(Post("/x", "small").status == 200);
}

// Guards against connections that stay open with a head without end.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, head that stops short, is closed") {
  auto server =
      HttpServer::Make(
          {.listen_address = kAddress,
           .limits = {.head_timeout = std::chrono::milliseconds(300)}},
          [](const HttpRequest&, HttpExchangePtr) {})
          .value();
  CHECK(Exchange({"GET / HTTP/1.1\r\nHo"}).empty());
}

// Guards against silent connections that keep out all others.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, connections at the limit, a silent one is "
                  "replaced") {
  auto server =
      HttpServer::Make({.listen_address = kAddress, .max_connections = 2},
                       [](const HttpRequest&, HttpExchangePtr exchange) {
                         exchange->Respond(200, {}, "");
                       })
          .value();
  asio::io_context io;
  std::vector<asio::ip::tcp::socket> silent;
  for (int i = 0; i < 5; ++i) {
    silent.push_back(Connect(io));
  }
  CHECK(Post("/x", "body").status == 200);
}

// Guards against a client that keeps its connection in place of an ordinary
// one by sending the head of its first request a byte at a time.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, connections at the limit, one without a "
                  "complete request is replaced first") {
  auto server =
      HttpServer::Make({.listen_address = kAddress, .max_connections = 2},
                       [](const HttpRequest&, HttpExchangePtr exchange) {
                         exchange->Respond(200, {}, "");
                       })
          .value();
  asio::io_context io;
  auto ordinary = Connect(io);
  const std::string request = "GET / HTTP/1.1\r\n\r\n";
  std::string answer;
  asio::write(ordinary, asio::buffer(request));
  asio::read_until(ordinary, asio::dynamic_buffer(answer), "\r\n\r\n");
  auto trickling = Connect(io);
  asio::write(trickling, asio::buffer("GET", 3));
  CHECK(Post("/x", "body").status == 200);
  answer.clear();
  asio::error_code error;
  asio::write(ordinary, asio::buffer(request), error);
  asio::read_until(ordinary, asio::dynamic_buffer(answer), "\r\n\r\n", error);
  CHECK(answer.starts_with("HTTP/1.1 200"));
}

// Guards against responses that wait without a limit on their sum: the client
// that reads nothing loses its connection, and the one that reads does not.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, responses over the limit, clients that read "
                  "get theirs") {
  constexpr size_t kResponseBytes = size_t{1} << 20;
  auto server =
      HttpServer::Make({.listen_address = kAddress,
                        .max_response_bytes = 2 * kResponseBytes},
                       [](const HttpRequest&, HttpExchangePtr exchange) {
                         exchange->Respond(200, {},
                                           std::string(kResponseBytes, 'x'));
                       })
          .value();
  asio::io_context io;
  std::vector<asio::ip::tcp::socket> silent;
  for (int i = 0; i < 10; ++i) {
    silent.push_back(Connect(io));
    asio::write(silent.back(), asio::buffer("GET / HTTP/1.1\r\n\r\n", 18));
    CHECK(Post("/x", "body").body.size() == kResponseBytes);
  }
  // Only two of the ten responses fit.
  size_t complete = 0;
  for (auto& socket : silent) {
    std::string answer;
    asio::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer),
               asio::transfer_at_least(kResponseBytes), error);
    complete += error ? 0 : 1;
  }
  CHECK(complete <= 2);
}

// Guards against fields without end after a chunked body.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, trailer fields without end, is refused") {
  auto server = Serve([](const HttpRequest&, HttpExchangePtr exchange) {
    exchange->Respond(200, {}, "");
  });
  std::string fields;
  while (fields.size() < size_t{100} << 10) {
    fields += "a:b\r\n";
  }
  CHECK(Exchange({"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "1\r\nx\r\n0\r\n",
                  fields})
            .starts_with("HTTP/1.1 431"));
}

// Guards against limits that only apply to a server that starts later.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, limits replaced, apply to the next request") {
  auto server = Serve([](const HttpRequest&, HttpExchangePtr exchange) {
    exchange->Respond(200, {}, "");
  });
  CHECK(Post("/x", std::string(2000, 'x')).status == 413);
  server->SetRequestLimits({.body_bytes = 3000});
  CHECK(Post("/x", std::string(2000, 'x')).status == 200);
  CHECK(Post("/x", std::string(4000, 'x')).status == 413);
}

// Guards against a crash or a silent failure when the port is in use.
TEST_CASE_FIXTURE(HttpServerFixture,
                  "HttpServer, port in use, fails with unavailable") {
  auto server = Serve([](const HttpRequest&, HttpExchangePtr) {});
  const auto second = HttpServer::Make({.listen_address = kAddress}, {});
  REQUIRE_FALSE(second);
  CHECK(second.error().code == ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace carawayrelay

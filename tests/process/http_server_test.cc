#include <curl/curl.h>
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "carawayrelay/process.h"

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
    auto server =
        HttpServer::Make({.listen_address = kAddress, .max_body_bytes = 1000},
                         std::move(handler));
    REQUIRE(server);
    return std::move(server).value();
  }

  static size_t Append(char* data, size_t size, size_t count, void* body) {
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
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

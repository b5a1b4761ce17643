#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

struct HttpCall {
  std::string method = "GET";
  std::string target;                // path and query, already percent-encoded
  std::vector<std::string> headers;  // "Name: value"
  std::string body;
};

struct HttpResponse {
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  // True when a connection was opened although one was open before. libcurl
  // then may have sent the call twice: it repeats a call whose reused
  // connection closed before the first byte of a response.
  bool maybe_repeated = false;

  // The value of a header, or an empty string.
  std::string Header(const std::string& name) const;
};

// Percent-encodes everything but unreserved characters, also "/".
std::string PercentEncode(std::string_view text);

// Blocking HTTP/1.1 client for one server, with keep-alive. For one thread.
class HttpClient {
 public:
  struct Options {
    std::string base_url;  // "http://IP:port"
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds request_timeout{2000};
  };

  // Fails with kInvalid when base_url is not of the form "http://IP:port".
  static Result<std::unique_ptr<HttpClient>> Make(Options options);
  ~HttpClient();

  // Returns the response with any status. Fails with kUnavailable when nothing
  // was sent, and with kUnknown when the response was lost.
  Result<HttpResponse> Send(const HttpCall& call);

 private:
  class Impl;
  explicit HttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay

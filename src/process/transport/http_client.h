#pragma once

#include <chrono>
#include <cstddef>
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
  // Whether the request may have been sent twice. libcurl repeats a request on
  // a new connection when a reused connection closes before the first byte of
  // the response. True when this request opened a connection after an earlier
  // request had received a response.
  bool maybe_repeated = false;

  // The value of the header `name` (lower case), or an empty string.
  std::string Header(const std::string& name) const;
};

// Percent-encodes all bytes except unreserved characters (RFC 3986); "/" is
// encoded too.
std::string PercentEncode(std::string_view text);

// Blocking HTTP/1.1 client for one server, with keep-alive. Not thread-safe.
class HttpClient {
 public:
  struct Options {
    std::string base_url;  // "http://IP:port"
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds request_timeout{2000};
    // Limit of the head and body of one response together. A longer response
    // fails the call.
    size_t max_response_bytes = size_t{64} << 20;
  };

  // Fails with kInvalid when base_url is not of the form "http://IP:port".
  static Result<std::unique_ptr<HttpClient>> Make(Options options);
  ~HttpClient();

  // Returns the response, whatever its status. Fails with kUnavailable when no
  // byte of the request was sent, and with kUnknown when bytes were sent but no
  // complete response arrived.
  Result<HttpResponse> Send(const HttpCall& call);

 private:
  class Impl;
  explicit HttpClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay

#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

struct HttpRequest {
  std::string method;
  std::string path;   // without the query
  std::string query;  // without the question mark
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The reply side of one HTTP request. All calls may come from any thread, and
// calls after the connection closed have no effect. An exchange that is
// destroyed without a reply closes its connection.
class HttpExchange {
 public:
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Makes the answer close the connection. Call it before the reply.
  void CloseAfterResponse();
  void Respond(int status, const HttpHeaders& headers, std::string body);
  void StartStream(int status, const HttpHeaders& headers);
  // Sends a piece of a started stream. Returns false when the caller is gone
  // or does not read; the stream is then aborted.
  bool SendPart(std::string data);
  // Ends a started stream as complete.
  void EndStream();
  // Closes the connection, so that a started stream cannot pass as complete.
  void Abort();
  // True once the connection closed, a write failed or it was aborted.
  bool IsDisconnected() const;

 private:
  friend class HttpServer;
  class Impl;
  explicit HttpExchange(std::shared_ptr<Impl> impl);

  std::shared_ptr<Impl> impl_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

// HTTP/1.1 server on one thread of its own.
class HttpServer {
 public:
  struct Options {
    std::string listen_address;  // "IP:port"
    size_t max_body_bytes = size_t{64} << 20;
    std::chrono::milliseconds read_timeout{30000};
  };
  // Runs on the server's thread and must not block.
  using Handler = std::function<void(HttpRequest, HttpExchangePtr)>;

  // Fails with kInvalid for a malformed address and kUnavailable when it
  // cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Make(const Options& options,
                                                  Handler handler);
  ~HttpServer();
  // Closes the listening socket and all connections and joins the thread.
  // Exchanges must not be used after it.
  void Stop();

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay

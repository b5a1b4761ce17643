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

class RequestMemoryBudget;

struct HttpRequest {
  std::string method;
  std::string path;   // without the query
  std::string query;  // without the question mark
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The response side of one HTTP request. Thread-safe. Calls after the
// connection closed have no effect. An exchange that is destroyed before its
// response is complete closes the connection.
class HttpExchange {
 public:
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Closes the connection after the response. Must be called before Respond()
  // or StartStream().
  void CloseAfterResponse();
  // Sends a complete response. Only the first response has an effect.
  void Respond(int status, const HttpHeaders& headers, const std::string& body);
  // Sends the status and headers of a chunked response.
  void StartStream(int status, const HttpHeaders& headers);
  // Sends data of a started stream. Returns false when the client disconnected,
  // or when it reads too slowly and the stream was aborted.
  bool SendPart(const std::string& data);
  // Completes a started stream.
  void EndStream();
  // Closes the connection without the end of the stream, so that the client
  // does not take a partial response for a complete one.
  void Abort();
  // True once the connection closed, a write failed or Abort() was called.
  bool IsDisconnected() const;

 private:
  friend class HttpConnection;
  class Impl;
  explicit HttpExchange(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

// HTTP/1.1 server that runs on its own thread.
class HttpServer {
 public:
  // Limits of each request.
  struct RequestLimits {
    size_t body_bytes = size_t{64} << 20;
    // Bytes of the target and of the names and values of the header fields. A
    // head may have this number of bytes beside them.
    size_t field_bytes = size_t{64} << 10;
    // Time for a head, from its first byte.
    std::chrono::milliseconds head_timeout{3000};
    // Time without a further byte of a body.
    std::chrono::milliseconds body_timeout{15000};
    // Time between two requests on a connection.
    std::chrono::milliseconds idle_timeout{30000};
  };
  struct Options {
    std::string listen_address;  // "IP:port"
    RequestLimits limits;
    // Connections that are open at the same time. A further one replaces the
    // connection without a running request that was silent for longest.
    size_t max_connections = 10000;
    // Time without progress of a response that waits to be sent.
    std::chrono::milliseconds write_timeout{30000};
    // Bytes of responses that wait to be sent, on all connections. When they
    // are exceeded, the connection is closed whose client has read nothing for
    // longest.
    size_t max_response_bytes = size_t{16} << 20;
    // Memory of the requests. A server without one has a budget of its own.
    std::shared_ptr<RequestMemoryBudget> request_memory;
  };
  // Runs on the thread of the server and must not block.
  using Handler = std::function<void(HttpRequest, HttpExchangePtr)>;

  // Fails with kInvalid when the address is malformed, and with kUnavailable
  // when it cannot be bound.
  static Result<std::unique_ptr<HttpServer>> Make(const Options& options,
                                                  Handler handler);
  ~HttpServer();
  // Replaces the limits for the requests that arrive from now on. Any thread.
  void SetRequestLimits(const RequestLimits& limits);
  // Closes the listening socket and all connections, and joins the thread.
  // Exchanges must not be used afterwards.
  void Stop();

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay

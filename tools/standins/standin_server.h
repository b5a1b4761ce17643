#pragma once

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "carawayrelay/process.h"

namespace carawayrelay::tools {

struct HttpCall {
  HttpRequest request;
  HttpExchangePtr exchange;
};

// Returns the value of a header, or an empty string if it is missing. `name` is
// in lower case.
std::string HeaderOf(const HttpRequest& request, const std::string& name);
// Returns the percent-decoded value of a query parameter, or an empty string if
// it is missing.
std::string QueryOf(const HttpRequest& request, const std::string& name);
std::string PercentDecode(const std::string& text);
void ReplyJson(HttpExchange& exchange,
               int status,
               const nlohmann::json& body,
               HttpHeaders headers = {});

// HTTP server of a stand-in. The HTTP thread passes requests through a bounded
// ring to the thread that calls Run(), which owns the state and the timers of
// the stand-in.
class StandinServer {
 public:
  using Handler = std::function<void(HttpCall)>;

  // `listen_address` is IP:port. Fails if the address cannot be bound.
  static Result<std::unique_ptr<StandinServer>> Make(
      const std::string& listen_address);
  ~StandinServer();

  // Passes all requests to `handler`, and returns after SIGTERM or SIGINT.
  void Run(Handler handler);
  // Calls `action` after `delay` on the thread of Run(). Calls it before
  // returning if the delay is zero. Call on the thread of Run() only.
  void After(Duration delay, std::function<void()> action);
  asio::io_context& io() { return io_; }

 private:
  // Requests that may wait for the thread of Run(). Further ones get status
  // 503.
  static constexpr size_t kRingCapacity = 4096;

  StandinServer() : ring_(kRingCapacity) {}
  void Drain();

  // Declared first, so that it outlives the exchanges that timers and the ring
  // hold.
  std::unique_ptr<HttpServer> http_;
  asio::io_context io_;
  Ring<HttpCall> ring_;
  Handler handler_;
};

}  // namespace carawayrelay::tools

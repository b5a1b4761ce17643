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

// Value of a header (name in lower case), or an empty string.
std::string HeaderOf(const HttpRequest& request, const std::string& name);
// Value of a query parameter with percent-encoding removed, or an empty string.
std::string QueryOf(const HttpRequest& request, const std::string& name);
std::string PercentDecode(const std::string& text);
void ReplyJson(HttpExchange& exchange,
               int status,
               const nlohmann::json& body,
               HttpHeaders headers = {});

// Joins the HTTP thread by a ring to the thread that calls Run(), which owns
// the state of a stand-in and its timers.
class StandinServer {
 public:
  using Handler = std::function<void(HttpCall)>;

  static Result<std::unique_ptr<StandinServer>> Make(
      const std::string& listen_address);
  ~StandinServer();

  // Hands all requests to `handler` until SIGTERM or SIGINT arrives.
  void Run(Handler handler);
  // Calls `action` after `delay` on the thread of Run(). Does so at once when
  // the delay is zero.
  void After(Duration delay, std::function<void()> action);
  asio::io_context& io() { return io_; }

 private:
  // Requests that wait for the state thread; more get status 503.
  static constexpr size_t kRingCapacity = 4096;

  StandinServer() : ring_(kRingCapacity) {}
  void Drain();

  // First, so that it outlives the exchanges that timers and the ring hold.
  std::unique_ptr<HttpServer> http_;
  asio::io_context io_;
  Ring<HttpCall> ring_;
  Handler handler_;
};

}  // namespace carawayrelay::tools

#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <set>

#include "process/transport/http_server.h"
#include "process/transport/progress_order.h"
#include "process/transport/request_memory_budget.h"

namespace carawayrelay {

class HttpConnection;

// What the connections of one HTTP server share: its thread, its listening
// socket and its limits. Except for Post() and Stop(), all methods are called
// on the thread of the server.
class HttpServerLoop : public std::enable_shared_from_this<HttpServerLoop> {
 public:
  static constexpr size_t kReadBytes = size_t{16} << 10;

  HttpServerLoop(HttpServer::Options options, HttpServer::Handler handler);
  ~HttpServerLoop();

  // Binds the address. Throws asio::system_error. Called before Run().
  void Listen(const asio::ip::tcp::endpoint& endpoint);
  // Runs the server until Stop().
  void Run();
  // Closes the listening socket and all connections. Run() returns afterwards.
  // Any thread.
  void Stop();
  // Runs `action` on the thread of the server, or not at all after Stop(). Any
  // thread.
  void Post(std::function<void()> action);
  // Runs `action` at once on the thread of the server, and otherwise like
  // Post(). Any thread.
  void RunOrPost(std::function<void()> action);

  const HttpServer::Options& options() const { return options_; }
  const HttpServer::RequestLimits& limits() const { return options_.limits; }
  void SetLimits(const HttpServer::RequestLimits& limits) {
    options_.limits = limits;
  }
  const HttpServer::Handler& handler() const { return handler_; }
  RequestMemoryBudget& request_memory() { return *options_.request_memory; }
  // Buffer of the connection that is read at the moment.
  std::array<char, kReadBytes>& read_buffer() { return read_buffer_; }
  void Remove(const std::shared_ptr<HttpConnection>& connection);

  // Connections without a running request, which may be closed for a new one.
  // Those that never had a complete request are the first to be closed.
  ProgressOrder& waiting(bool has_had_request) {
    return has_had_request ? idle_ : untested_;
  }
  // Connections with a response that waits to be sent.
  ProgressOrder& unsent() { return unsent_; }
  // The bytes of responses that wait to be sent have grown. May close any
  // connection that is in unsent().
  void AddUnsentBytes(size_t bytes);
  void RemoveUnsentBytes(size_t bytes) { unsent_bytes_ -= bytes; }

 private:
  void Accept();
  void Add(asio::ip::tcp::socket socket);
  // Closes the connection without a running request that was silent for
  // longest. Returns false if there is none.
  bool CloseSilentConnection();
  // Closes connections whose time limit is over, now and periodically.
  void CheckDeadlines();

  HttpServer::Options options_;
  const HttpServer::Handler handler_;
  asio::io_context io_{1};
  asio::ip::tcp::acceptor acceptor_{io_};
  asio::steady_timer accept_timer_{io_};
  asio::steady_timer deadline_timer_{io_};
  bool is_checking_deadlines_ = false;
  bool is_accepting_ = false;
  std::mutex mutex_;
  bool is_stopped_ = false;  // guarded by mutex_
  std::set<std::shared_ptr<HttpConnection>> connections_;
  ProgressOrder untested_;
  ProgressOrder idle_;
  ProgressOrder unsent_;
  size_t unsent_bytes_ = 0;
  std::array<char, kReadBytes> read_buffer_{};
};

}  // namespace carawayrelay

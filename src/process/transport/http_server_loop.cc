#include "process/transport/http_server_loop.h"

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

#include "process/telemetry/decision_log.h"
#include "process/transport/http_connection.h"
#include "process/transport/socket_buffers.h"

namespace carawayrelay {
namespace {

// Accepting fails, for example, when the process has no descriptor left.
constexpr std::chrono::milliseconds kAcceptRetryInterval{100};
constexpr std::chrono::milliseconds kDeadlineCheckInterval{200};
// Used without a budget of the process.
constexpr size_t kOwnBudgetBytes = size_t{256} << 20;

HttpServer::Options WithBudget(HttpServer::Options options) {
  if (!options.request_memory) {
    options.request_memory = RequestMemoryBudget::Make(kOwnBudgetBytes);
  }
  return options;
}

}  // namespace

HttpServerLoop::HttpServerLoop(HttpServer::Options options,
                               HttpServer::Handler handler)
    : options_(WithBudget(std::move(options))), handler_(std::move(handler)) {}

HttpServerLoop::~HttpServerLoop() = default;

void HttpServerLoop::Listen(const asio::ip::tcp::endpoint& endpoint) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  LimitSocketBuffers(acceptor_);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  Accept();
}

void HttpServerLoop::Run() {
  while (true) {
    try {
      io_.run();
      return;
    } catch (const std::exception& e) {
      LogDecision(LogEvent::kEventFailed, "reason", e.what());
    }
  }
}

void HttpServerLoop::Stop() {
  Post([this] {
    asio::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    deadline_timer_.cancel();
    while (!connections_.empty()) {
      const auto connection = *connections_.begin();
      connection->Close();
    }
  });
  const std::lock_guard lock(mutex_);
  is_stopped_ = true;
}

void HttpServerLoop::Post(std::function<void()> action) {
  const std::lock_guard lock(mutex_);
  if (!is_stopped_) {
    asio::post(io_, std::move(action));
  }
}

void HttpServerLoop::RunOrPost(std::function<void()> action) {
  if (io_.get_executor().running_in_this_thread()) {
    action();
  } else {
    Post(std::move(action));
  }
}

void HttpServerLoop::Accept() {
  if (is_accepting_ || !acceptor_.is_open()) {
    return;
  }
  is_accepting_ = true;
  acceptor_.async_accept(
      [this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        is_accepting_ = false;
        if (!acceptor_.is_open()) {
          return;
        }
        if (!error) {
          Add(std::move(socket));
          Accept();
          return;
        }
        CloseSilentConnection();
        accept_timer_.expires_after(kAcceptRetryInterval);
        accept_timer_.async_wait([this](const asio::error_code& cancelled) {
          if (!cancelled) {
            Accept();
          }
        });
      });
}

void HttpServerLoop::Add(asio::ip::tcp::socket socket) {
  if (connections_.size() >= options_.max_connections &&
      !CloseSilentConnection()) {
    // All connections have a running request.
    request_memory().CountClosedConnection();
    return;
  }
  const auto connection =
      std::make_shared<HttpConnection>(shared_from_this(), std::move(socket));
  connections_.insert(connection);
  connection->Start();
  if (!std::exchange(is_checking_deadlines_, true)) {
    CheckDeadlines();
  }
}

bool HttpServerLoop::CloseSilentConnection() {
  const ProgressOrder& order = untested_.size() > 0 ? untested_ : idle_;
  if (order.size() == 0) {
    return false;
  }
  request_memory().CountClosedConnection();
  order.oldest().Close();
  return true;
}

void HttpServerLoop::Remove(const std::shared_ptr<HttpConnection>& connection) {
  connections_.erase(connection);
}

void HttpServerLoop::AddUnsentBytes(size_t bytes) {
  unsent_bytes_ += bytes;
  // A response that is larger than the limit is sent if it is the only one.
  while (unsent_bytes_ > options_.max_response_bytes && unsent_.size() > 1) {
    request_memory().CountClosedConnection();
    unsent_.oldest().Close();
  }
}

void HttpServerLoop::CheckDeadlines() {
  const TimePoint now = BootClock::now();
  // Copied, because connections remove themselves.
  const std::vector<std::shared_ptr<HttpConnection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    connection->CheckDeadline(now);
  }
  if (connections_.empty()) {
    is_checking_deadlines_ = false;
    return;
  }
  deadline_timer_.expires_after(kDeadlineCheckInterval);
  deadline_timer_.async_wait([this](const asio::error_code& cancelled) {
    if (!cancelled) {
      CheckDeadlines();
    }
  });
}

}  // namespace carawayrelay

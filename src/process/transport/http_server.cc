#include "process/transport/http_server.h"

#include <exception>
#include <thread>
#include <utility>

#include "process/transport/endpoint.h"
#include "process/transport/http_server_loop.h"

namespace carawayrelay {

class HttpServer::Impl {
 public:
  // Throws asio::system_error if the address cannot be bound.
  Impl(const Options& options,
       const asio::ip::tcp::endpoint& endpoint,
       Handler handler)
      : loop_(std::make_shared<HttpServerLoop>(options, std::move(handler))) {
    loop_->Listen(endpoint);
    thread_ = std::thread([loop = loop_] { loop->Run(); });
  }

  void SetRequestLimits(const RequestLimits& limits) {
    loop_->Post([loop = loop_.get(), limits] { loop->SetLimits(limits); });
  }

  void Stop() {
    if (thread_.joinable()) {
      loop_->Stop();
      thread_.join();
    }
  }

 private:
  std::shared_ptr<HttpServerLoop> loop_;
  std::thread thread_;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Make(const Options& options,
                                                     Handler handler) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseEndpoint(options.listen_address));
  try {
    return std::unique_ptr<HttpServer>(new HttpServer(
        std::make_unique<Impl>(options, endpoint, std::move(handler))));
  } catch (const std::exception& e) {
    return Error{
        ErrorCode::kUnavailable,
        "cannot listen on " + options.listen_address + ": " + e.what()};
  }
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

void HttpServer::SetRequestLimits(const RequestLimits& limits) {
  impl_->SetRequestLimits(limits);
}

HttpServer::~HttpServer() {
  Stop();
}

void HttpServer::Stop() {
  impl_->Stop();
}

}  // namespace carawayrelay

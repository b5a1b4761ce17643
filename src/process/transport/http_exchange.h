#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

#include "process/transport/http_connection.h"
#include "process/transport/http_server.h"
#include "process/transport/request_memory_budget.h"

namespace carawayrelay {

// Encodes the response to one request and passes it to the connection.
class HttpExchange::Impl {
 public:
  Impl(std::shared_ptr<HttpConnection> connection,
       std::shared_ptr<HttpServerLoop> loop,
       HttpConnection::RequestNumber request,
       bool keeps_connection,
       std::unique_ptr<RequestMemoryBudget::Account> account);

  void CloseAfterResponse();
  void Respond(int status, const HttpHeaders& headers, const std::string& body);
  void StartStream(int status, const HttpHeaders& headers);
  bool SendPart(const std::string& data);
  void EndStream();
  void Abort();
  bool IsDisconnected() const;

 private:
  // The mutex must be locked by the callers of these functions.
  void AbortLocked();
  void Finish(std::string bytes, bool closes);

  std::mutex mutex_;
  const std::shared_ptr<HttpConnection> connection_;
  // Keeps the objects of Asio alive that the connection uses.
  const std::shared_ptr<HttpServerLoop> loop_;
  const HttpConnection::RequestNumber request_;
  bool keeps_connection_;
  // Held until the response is complete, because the request may be kept until
  // then.
  std::unique_ptr<RequestMemoryBudget::Account> account_;
  std::atomic<bool> disconnected_ = false;
  bool response_started_ = false;
  bool is_stream_ = false;
  bool finished_ = false;
};

}  // namespace carawayrelay

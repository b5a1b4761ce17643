#include "process/transport/http_exchange.h"

#include <utility>

#include "process/transport/http_response_head.h"

namespace carawayrelay {
namespace {

// Limit of the buffered data of one stream. A client that reads too slowly and
// exceeds it is disconnected.
constexpr size_t kMaxUnsentBytes = size_t{4} << 20;

}  // namespace

HttpExchange::Impl::Impl(std::shared_ptr<HttpConnection> connection,
                         std::shared_ptr<HttpServerLoop> loop,
                         HttpConnection::RequestNumber request,
                         bool keeps_connection,
                         std::unique_ptr<RequestMemoryBudget::Account> account)
    : connection_(std::move(connection)),
      loop_(std::move(loop)),
      request_(request),
      keeps_connection_(keeps_connection),
      account_(std::move(account)) {}

void HttpExchange::Impl::CloseAfterResponse() {
  const std::lock_guard lock(mutex_);
  keeps_connection_ = false;
}

void HttpExchange::Impl::Respond(int status,
                                 const HttpHeaders& headers,
                                 const std::string& body) {
  const std::lock_guard lock(mutex_);
  if (std::exchange(response_started_, true)) {
    return;
  }
  std::string bytes =
      EncodeResponseHead(status, headers, body.size(), keeps_connection_);
  bytes += body;
  Finish(std::move(bytes), !keeps_connection_);
}

void HttpExchange::Impl::StartStream(int status, const HttpHeaders& headers) {
  const std::lock_guard lock(mutex_);
  if (std::exchange(response_started_, true)) {
    return;
  }
  is_stream_ = true;
  connection_->Write(
      request_,
      EncodeResponseHead(status, headers, std::nullopt, keeps_connection_),
      /*is_last=*/false, /*closes=*/false);
}

bool HttpExchange::Impl::SendPart(const std::string& data) {
  const std::lock_guard lock(mutex_);
  if (!is_stream_ || finished_ || IsDisconnected()) {
    return false;
  }
  if (data.empty()) {
    return true;
  }
  if (connection_->unsent_bytes() + data.size() > kMaxUnsentBytes) {
    AbortLocked();
    return false;
  }
  connection_->Write(request_, EncodeChunk(data), /*is_last=*/false,
                     /*closes=*/false);
  return true;
}

void HttpExchange::Impl::EndStream() {
  const std::lock_guard lock(mutex_);
  if (is_stream_ && !finished_) {
    Finish(kLastChunk, !keeps_connection_);
  }
}

void HttpExchange::Impl::Abort() {
  const std::lock_guard lock(mutex_);
  AbortLocked();
}

bool HttpExchange::Impl::IsDisconnected() const {
  return disconnected_ || connection_->is_closed();
}

void HttpExchange::Impl::AbortLocked() {
  if (finished_) {
    return;
  }
  response_started_ = true;
  disconnected_ = true;
  // Without the last chunk, the client does not take the response for a
  // complete one.
  Finish("", /*closes=*/true);
}

void HttpExchange::Impl::Finish(std::string bytes, bool closes) {
  finished_ = true;
  account_.reset();
  connection_->Write(request_, std::move(bytes), /*is_last=*/true, closes);
}

HttpExchange::HttpExchange(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

HttpExchange::~HttpExchange() {
  Abort();
}

void HttpExchange::CloseAfterResponse() {
  impl_->CloseAfterResponse();
}

void HttpExchange::Respond(int status,
                           const HttpHeaders& headers,
                           const std::string& body) {
  impl_->Respond(status, headers, body);
}

void HttpExchange::StartStream(int status, const HttpHeaders& headers) {
  impl_->StartStream(status, headers);
}

bool HttpExchange::SendPart(const std::string& data) {
  return impl_->SendPart(data);
}

void HttpExchange::EndStream() {
  impl_->EndStream();
}

void HttpExchange::Abort() {
  impl_->Abort();
}

bool HttpExchange::IsDisconnected() const {
  return impl_->IsDisconnected();
}

}  // namespace carawayrelay

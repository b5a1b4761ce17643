#include "process/transport/http_connection.h"

#include <asio/buffer.hpp>
#include <chrono>
#include <exception>
#include <nlohmann/json.hpp>

#include "process/transport/http_exchange.h"
#include "process/transport/http_response_head.h"
#include "process/transport/socket_buffers.h"

namespace carawayrelay {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

// A client that still sends when its request has been refused may lose the
// response if the connection is closed at once. Its bytes are discarded for
// this long and up to this number.
constexpr milliseconds kDiscardTime{2000};
constexpr size_t kMaxDiscardedBytes = size_t{4} << 20;
// Small parts of a response are sent together up to this size.
constexpr size_t kSendBytes = size_t{16} << 10;
// Memory of a connection that receives a request, besides the request itself.
constexpr size_t kConnectionBytes = 2048;
// Bytes of a head besides those of the target and the fields: the syntax of
// about 3000 fields.
constexpr size_t kHeadSyntaxBytes = size_t{16} << 10;
constexpr const char* kOverloadedRetrySeconds = "0.500";

std::string RefusalBody(RefusalCode code, const std::string& reason) {
  return nlohmann::json{{"error",
                         {{"message", reason},
                          {"type", "invalid_request_error"},
                          {"code", ToString(code)},
                          {"run_state", ToString(RunState::kNotRun)}}}}
      .dump();
}

}  // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServerLoop> loop,
                               tcp::socket socket)
    : loop_(std::move(loop)), socket_(std::move(socket)) {}

void HttpConnection::Start() {
  asio::error_code error;
  socket_.set_option(tcp::no_delay(true), error);
  socket_.non_blocking(true, error);
  if (error) {
    Close();
    return;
  }
  BeginRequest();
}

void HttpConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  const auto self = shared_from_this();
  phase_ = Phase::kClosed;
  is_closed_ = true;
  asio::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  parser_.reset();
  account_.reset();
  unsent_.clear();
  waiting_place_.Leave();
  unsent_place_.Leave();
  loop_->RemoveUnsentBytes(std::exchange(held_response_bytes_, 0));
  loop_->Remove(self);
}

void HttpConnection::CheckDeadline(TimePoint now) {
  if (!deadline_ || now < *deadline_) {
    return;
  }
  if (phase_ != Phase::kIdle && phase_ != Phase::kDiscarding) {
    loop_->request_memory().CountRejectedRequest();
  }
  Close();
}

void HttpConnection::BeginRequest() {
  has_last_part_ = false;
  closes_after_response_ = false;
  SetPhase(Phase::kIdle, loop_->limits().idle_timeout);
  WaitForInput();
}

void HttpConnection::SetPhase(Phase phase, milliseconds time_limit) {
  phase_ = phase;
  deadline_ = BootClock::now() + time_limit;
  waiting_place_.MoveToEnd(loop_->waiting(has_had_request_), *this);
}

void HttpConnection::WaitForInput() {
  if (std::exchange(is_waiting_for_input_, true)) {
    return;
  }
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const asio::error_code&) {
                       self->is_waiting_for_input_ = false;
                       try {
                         self->OnInput();
                       } catch (const std::exception&) {
                         self->Close();
                       }
                     });
}

// Bytes are taken from the socket only after they were parsed, so that those of
// the next request stay there.
void HttpConnection::OnInput() {
  if (phase_ == Phase::kClosed || phase_ == Phase::kRefusing) {
    return;
  }
  auto& buffer = loop_->read_buffer();
  asio::error_code error;
  const size_t size =
      socket_.receive(asio::buffer(buffer), tcp::socket::message_peek, error);
  if (error == asio::error::would_block || error == asio::error::interrupted) {
    WaitForInput();
    return;
  }
  if (error) {
    // The client has closed the connection or its sending side.
    Close();
    return;
  }
  // While the handler has a request, input only shows that the client is still
  // connected.
  if (phase_ != Phase::kServing) {
    Consume({buffer.data(), size});
  }
}

void HttpConnection::Consume(std::string_view data) {
  if (phase_ == Phase::kDiscarding) {
    Discard(data.size());
    return;
  }
  ConsumeRequest(data);
}

void HttpConnection::Discard(size_t bytes) {
  asio::error_code error;
  socket_.receive(asio::buffer(loop_->read_buffer(), bytes), 0, error);
  discarded_bytes_ += bytes;
  if (error || discarded_bytes_ > kMaxDiscardedBytes) {
    Close();
    return;
  }
  WaitForInput();
}

void HttpConnection::ConsumeRequest(std::string_view data) {
  if (phase_ == Phase::kIdle) {
    ++request_number_;
    const HttpServer::RequestLimits& limits = loop_->limits();
    parser_.emplace(HttpRequestParser::Limits{
        .head_bytes = limits.field_bytes + kHeadSyntaxBytes,
        .field_bytes = limits.field_bytes,
        .body_bytes = limits.body_bytes});
    account_ = loop_->request_memory().Open([weak = weak_from_this(),
                                             loop = std::weak_ptr(loop_),
                                             request = request_number_] {
      if (const auto alive = loop.lock()) {
        alive->RunOrPost([weak, request] {
          if (const auto self = weak.lock()) {
            self->OnEvicted(request);
          }
        });
      }
    });
    SetPhase(Phase::kHead, limits.head_timeout);
  }
  const size_t parsed = parser_->Parse(data);
  const bool has_problem =
      parser_->problem() != HttpRequestParser::Problem::kNone;
  asio::error_code error;
  socket_.receive(
      asio::buffer(loop_->read_buffer(), has_problem ? data.size() : parsed), 0,
      error);
  if (error) {
    Close();
  } else if (has_problem) {
    RefuseProblem();
  } else if (Charge()) {
    if (parser_->is_complete()) {
      Dispatch();
      return;
    }
    if (parser_->has_head()) {
      SetPhase(Phase::kBody, loop_->limits().body_timeout);
      WidenWindow();
    }
    WaitForInput();
  }
}

void HttpConnection::WidenWindow() {
  if (!has_wide_window_ && parser_->body_bytes() > kSocketReceiveBytes) {
    has_wide_window_ = true;
    SetReceiveBuffer(socket_, kLargeSocketReceiveBytes);
  }
}

void HttpConnection::NarrowWindow() {
  if (std::exchange(has_wide_window_, false)) {
    SetReceiveBuffer(socket_, kSocketReceiveBytes);
  }
}

bool HttpConnection::Charge() {
  const size_t window_bytes = has_wide_window_ ? kLargeSocketReceiveBytes : 0;
  if (account_->Resize(kConnectionBytes + window_bytes +
                       parser_->HeldBytes()) &&
      (!parser_->is_complete() || account_->SetComplete())) {
    return true;
  }
  Refuse(RefusalCode::kOverloaded, "too many bytes of requests are held");
  return false;
}

void HttpConnection::Dispatch() {
  phase_ = Phase::kServing;
  deadline_.reset();
  waiting_place_.Leave();
  has_had_request_ = true;
  NarrowWindow();
  const bool keeps_connection = parser_->keeps_connection();
  HttpRequest request = parser_->Take();
  parser_.reset();
  WaitForInput();
  loop_->handler()(
      std::move(request),
      HttpExchangePtr(new HttpExchange(std::make_unique<HttpExchange::Impl>(
          shared_from_this(), loop_, request_number_, keeps_connection,
          std::move(account_)))));
}

void HttpConnection::RefuseProblem() {
  loop_->request_memory().CountRejectedRequest();
  switch (parser_->problem()) {
    case HttpRequestParser::Problem::kBodyTooLarge:
      Refuse(RefusalCode::kTooLarge,
             "request body over the limit of " +
                 std::to_string(loop_->limits().body_bytes) + " bytes");
      return;
    case HttpRequestParser::Problem::kHeadTooLarge:
      Refuse(RefusalCode::kHeadersTooLarge,
             "request head over the limit of " +
                 std::to_string(loop_->limits().field_bytes) + " bytes");
      return;
    case HttpRequestParser::Problem::kMalformed:
    case HttpRequestParser::Problem::kNone:
      Refuse(RefusalCode::kInvalidRequest, "the request is not valid HTTP/1.1");
      return;
  }
}

void HttpConnection::Refuse(RefusalCode code, const std::string& reason) {
  parser_.reset();
  account_.reset();
  NarrowWindow();
  SetPhase(Phase::kRefusing, loop_->options().write_timeout);
  const std::string body = RefusalBody(code, reason);
  HttpHeaders headers = {{"Content-Type", "application/json"}};
  if (code == RefusalCode::kOverloaded) {
    headers.emplace_back("Retry-After", kOverloadedRetrySeconds);
  }
  Append(EncodeResponseHead(HttpStatus(code), headers, body.size(),
                            /*keeps_connection=*/false) +
             body,
         /*is_last=*/true, /*closes=*/true);
}

void HttpConnection::OnEvicted(RequestNumber request) {
  if (request == request_number_ &&
      (phase_ == Phase::kHead || phase_ == Phase::kBody)) {
    Refuse(RefusalCode::kOverloaded, "too many bytes of requests are held");
  }
}

void HttpConnection::Write(RequestNumber request,
                           std::string bytes,
                           bool is_last,
                           bool closes) {
  unsent_bytes_ += bytes.size();
  loop_->Post([self = shared_from_this(), request, bytes = std::move(bytes),
               is_last, closes]() mutable {
    if (self->phase_ == Phase::kServing && request == self->request_number_ &&
        !self->has_last_part_) {
      self->Append(std::move(bytes), is_last, closes);
    } else {
      self->unsent_bytes_ -= bytes.size();
    }
  });
}

void HttpConnection::Append(std::string bytes, bool is_last, bool closes) {
  has_last_part_ = is_last;
  closes_after_response_ = closes;
  if (!bytes.empty()) {
    AddUnsent(std::move(bytes));
  }
  if (!is_sending_ && phase_ != Phase::kClosed) {
    SendNext();
  }
}

void HttpConnection::AddUnsent(std::string bytes) {
  const size_t size = bytes.size();
  if (held_response_bytes_ == 0) {
    unsent_place_.MoveToEnd(loop_->unsent(), *this);
  }
  held_response_bytes_ += size;
  unsent_.push_back(std::move(bytes));
  loop_->AddUnsentBytes(size);
}

void HttpConnection::RemoveUnsent(size_t bytes) {
  held_response_bytes_ -= bytes;
  loop_->RemoveUnsentBytes(bytes);
  if (held_response_bytes_ == 0) {
    unsent_place_.Leave();
  } else {
    unsent_place_.MoveToEnd(loop_->unsent(), *this);
  }
}

void HttpConnection::SendNext() {
  if (sent_of_sending_ == sending_.size()) {
    sending_.clear();
    sent_of_sending_ = 0;
    while (!unsent_.empty() &&
           (sending_.empty() ||
            sending_.size() + unsent_.front().size() <= kSendBytes)) {
      if (sending_.empty()) {
        sending_ = std::move(unsent_.front());
      } else {
        sending_ += unsent_.front();
      }
      unsent_.pop_front();
    }
  }
  if (sending_.empty()) {
    if (phase_ == Phase::kServing) {
      deadline_.reset();
    }
    if (has_last_part_) {
      OnResponseSent();
    }
    return;
  }
  is_sending_ = true;
  deadline_ = BootClock::now() + loop_->options().write_timeout;
  socket_.async_write_some(
      asio::buffer(sending_.data() + sent_of_sending_,
                   sending_.size() - sent_of_sending_),
      [self = shared_from_this()](const asio::error_code& error, size_t size) {
        self->is_sending_ = false;
        if (error || self->phase_ == Phase::kClosed) {
          self->Close();
        } else {
          self->OnSent(size);
        }
      });
}

void HttpConnection::OnSent(size_t bytes) {
  sent_of_sending_ += bytes;
  RemoveUnsent(bytes);
  if (phase_ == Phase::kServing) {
    unsent_bytes_ -= bytes;
  }
  SendNext();
}

void HttpConnection::OnResponseSent() {
  sending_ = {};
  const bool was_refused = phase_ == Phase::kRefusing;
  if (!closes_after_response_) {
    BeginRequest();
    return;
  }
  asio::error_code error;
  if (!was_refused && socket_.available(error) == 0) {
    Close();
    return;
  }
  socket_.shutdown(tcp::socket::shutdown_send, error);
  SetPhase(Phase::kDiscarding, kDiscardTime);
  discarded_bytes_ = 0;
  WaitForInput();
}

}  // namespace carawayrelay

#include "process/transport/datagram_socket.h"

#include <asio/buffer.hpp>
#include <utility>

#include "process/telemetry/decision_log.h"
#include "process/transport/endpoint.h"

namespace carawayrelay {
namespace {

std::string ToText(const asio::ip::udp::endpoint& endpoint) {
  const std::string host = endpoint.address().to_string();
  return (endpoint.address().is_v6() ? "[" + host + "]" : host) + ":" +
         std::to_string(endpoint.port());
}

Result<asio::ip::udp::endpoint> ParseUdpEndpoint(const std::string& address) {
  BOOST_OUTCOME_TRY(const auto parsed, ParseEndpoint(address));
  return asio::ip::udp::endpoint(parsed.address(), parsed.port());
}

}  // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Make(
    const std::string& listen_address,
    Handler handler) {
  std::unique_ptr<DatagramSocket> made(new DatagramSocket(std::move(handler)));
  BOOST_OUTCOME_TRY(const auto endpoint, ParseUdpEndpoint(listen_address));
  asio::error_code error;
  made->socket_.open(endpoint.protocol(), error);
  if (!error) {
    made->socket_.bind(endpoint, error);
  }
  // Set before the thread starts: a sender must not wait, and does not share
  // this state with the receiver afterwards.
  if (!error) {
    made->socket_.non_blocking(true, error);
  }
  if (error) {
    return Error{ErrorCode::kUnavailable,
                 "cannot bind UDP " + listen_address + ": " + error.message()};
  }
  made->Receive();
  made->thread_ = std::thread([raw = made.get()] { raw->context_.run(); });
  return made;
}

DatagramSocket::DatagramSocket(Handler handler)
    : handler_(std::move(handler)) {}

DatagramSocket::~DatagramSocket() {
  Stop();
}

Result<void> DatagramSocket::Send(const std::string& address,
                                  const std::string& bytes) {
  BOOST_OUTCOME_TRY(const auto endpoint, ParseUdpEndpoint(address));
  asio::error_code error;
  socket_.send_to(asio::buffer(bytes), endpoint, 0, error);
  if (error) {
    return Error{ErrorCode::kUnavailable, error.message()};
  }
  return Success();
}

void DatagramSocket::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void DatagramSocket::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), from_,
      [this](const asio::error_code& error, size_t size) {
        if (error) {
          LogDecision(LogEvent::kDatagramFailed, "reason", error.message());
        } else {
          handler_({.from = ToText(from_),
                    .bytes = std::string(buffer_.data(), size)});
        }
        Receive();
      });
}

}  // namespace carawayrelay

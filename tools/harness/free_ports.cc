#include "harness/free_ports.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace carawayrelay::tools {
namespace {

using asio::ip::tcp;

tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

}  // namespace

Result<std::vector<std::uint16_t>> FindFreePorts(size_t count) {
  asio::io_context io;
  std::vector<tcp::acceptor> acceptors;
  std::vector<std::uint16_t> ports;
  for (size_t i = 0; i < count; ++i) {
    tcp::acceptor acceptor(io);
    asio::error_code error;
    acceptor.open(tcp::v4(), error);
    if (!error) {
      acceptor.bind(Loopback(0), error);
    }
    if (error) {
      return Error{ErrorCode::kUnavailable,
                   "cannot bind a free port on 127.0.0.1: " + error.message()};
    }
    ports.push_back(acceptor.local_endpoint().port());
    acceptors.push_back(std::move(acceptor));
  }
  return ports;
}

bool IsListening(std::uint16_t port) {
  asio::io_context io;
  tcp::socket socket(io);
  asio::error_code error;
  socket.connect(Loopback(port), error);
  return !error;
}

}  // namespace carawayrelay::tools

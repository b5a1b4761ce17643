#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "carawayrelay/request.h"

namespace carawayrelay {

struct Datagram {
  std::string from;  // "IP:port"
  std::string bytes;
};

// A UDP socket with a thread that waits for datagrams.
class DatagramSocket {
 public:
  // Runs on the thread of the socket and must not block.
  using Handler = std::function<void(Datagram)>;

  // Binds `listen_address` ("IP:port") and starts the thread. Fails with
  // kInvalid when the address is malformed, and with kUnavailable when it
  // cannot be bound.
  static Result<std::unique_ptr<DatagramSocket>> Make(
      const std::string& listen_address,
      Handler handler);
  ~DatagramSocket();

  // Sends one datagram, which may be lost; never waits. Fails with kInvalid
  // when the address is malformed, and with kUnavailable when the system
  // refuses to send. Must be called by one thread at a time.
  Result<void> Send(const std::string& address, const std::string& bytes);
  // Ends the thread; no datagrams are handled afterwards.
  void Stop();

 private:
  // Larger datagrams are cut off, and their decoding fails.
  static constexpr size_t kMaxDatagramBytes = 2048;

  explicit DatagramSocket(Handler handler);

  void Receive();

  Handler handler_;
  asio::io_context context_;
  asio::ip::udp::socket socket_{context_};
  asio::ip::udp::endpoint from_;  // of the datagram in `buffer_`
  std::array<char, kMaxDatagramBytes> buffer_{};
  std::thread thread_;
};

}  // namespace carawayrelay

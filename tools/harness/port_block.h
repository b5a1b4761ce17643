#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// A block of consecutive ports of 127.0.0.1 that no other PortBlock has, also
// of another process. It is claimed with a socket that is bound to its first
// port, which is not for use.
class PortBlock {
 public:
  static constexpr std::uint16_t kPorts = 100;

  // Fails with kUnavailable when all blocks are claimed.
  static Result<std::unique_ptr<PortBlock>> Claim();

  // The first port for use.
  std::uint16_t first_port() const { return claimed_port_ + 1; }

 private:
  explicit PortBlock(std::uint16_t claimed_port)
      : claimed_port_(claimed_port) {}

  const std::uint16_t claimed_port_;
  asio::io_context io_;
  asio::ip::tcp::acceptor claim_{io_};
};

}  // namespace carawayrelay::tools

#include "harness/port_block.h"

#include <utility>

namespace carawayrelay::tools {
namespace {

using asio::ip::tcp;

// Below the range from which the kernel assigns ports to outgoing connections,
// so that none of them takes a port of a block.
constexpr std::uint16_t kFirstPort = 21000;
constexpr std::uint16_t kLastPort = 32000;

}  // namespace

Result<std::unique_ptr<PortBlock>> PortBlock::Claim() {
  for (std::uint16_t port = kFirstPort; port + kPorts <= kLastPort;
       port += kPorts) {
    std::unique_ptr<PortBlock> block(new PortBlock(port));
    asio::error_code error;
    block->claim_.open(tcp::v4(), error);
    if (!error) {
      block->claim_.bind({asio::ip::address_v4::loopback(), port}, error);
    }
    if (!error) {
      return block;
    }
  }
  return Error{ErrorCode::kUnavailable,
               "all blocks of ports on 127.0.0.1 are in use"};
}

}  // namespace carawayrelay::tools

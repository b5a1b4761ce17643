#include "harness/port_block.h"

#include <doctest/doctest.h>

#include <set>
#include <vector>

namespace carawayrelay::tools {
namespace {

struct PortBlockFixture {};

// Guards against two soaks at the same time that use the same ports: 4 of 6
// seeds failed.
TEST_CASE_FIXTURE(PortBlockFixture,
                  "PortBlock, several claimed, ports do not overlap") {
  std::vector<std::unique_ptr<PortBlock>> blocks;
  std::set<std::uint16_t> ports;
  constexpr int kBlocks = 5;
  for (int i = 0; i < kBlocks; ++i) {
    auto block = PortBlock::Claim();
    REQUIRE(block);
    for (std::uint16_t port = 0; port + 1 < PortBlock::kPorts; ++port) {
      ports.insert(block.value()->first_port() + port);
    }
    blocks.push_back(std::move(block).value());
  }
  CHECK(ports.size() == kBlocks * (PortBlock::kPorts - 1));
}

TEST_CASE_FIXTURE(PortBlockFixture, "PortBlock, released, is claimed again") {
  const std::uint16_t first = PortBlock::Claim().value()->first_port();
  CHECK(PortBlock::Claim().value()->first_port() == first);
}

}  // namespace
}  // namespace carawayrelay::tools

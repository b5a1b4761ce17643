#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// What a link does with bytes and connections.
struct PassBytes {};
struct DelayBytes {
  std::chrono::milliseconds delay{0};
};
// Bytes vanish without a reset, in one direction or both. A connection that
// lost bytes stays silent for good.
struct DropBytes {
  bool to_target = true;
  bool from_target = true;
};
// Connections are reset, also new ones.
struct ResetConnections {};
using LinkMode =
    std::variant<PassBytes, DelayBytes, DropBytes, ResetConnections>;

// TCP proxy on 127.0.0.1 with a mode for each link, on a thread of its own.
class LoopbackProxy {
 public:
  LoopbackProxy();
  ~LoopbackProxy();

  // Passes connections to `port` on to `target`. Fails with kUnavailable when
  // the port cannot be bound.
  Result<void> AddLink(const std::string& name,
                       std::uint16_t port,
                       std::uint16_t target);
  void SetMode(const std::string& name, LinkMode mode);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay::tools

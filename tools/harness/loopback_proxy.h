#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Modes of a link, which say how it treats bytes and connections.
struct PassBytes {};
struct DelayBytes {
  std::chrono::milliseconds delay{0};
};
// Discards bytes without closing the connection, in one direction or both. Once
// a connection has lost bytes in a direction, it never forwards that direction
// again, also in another mode: the stream would have a gap.
struct DropBytes {
  bool to_target = true;
  bool from_target = true;
};
// Resets open connections and every new one.
struct ResetConnections {};
using LinkMode =
    std::variant<PassBytes, DelayBytes, DropBytes, ResetConnections>;

// TCP proxy on 127.0.0.1 with a mode for each link. Runs on a thread of its
// own.
class LoopbackProxy {
 public:
  LoopbackProxy();
  ~LoopbackProxy();

  // Forwards connections to `port` to the port `target`. Fails with
  // kUnavailable when `port` cannot be bound.
  Result<void> AddLink(const std::string& name,
                       std::uint16_t port,
                       std::uint16_t target);
  // Returns when the mode is in effect. Does nothing for an unknown name.
  void SetMode(const std::string& name, LinkMode mode);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay::tools

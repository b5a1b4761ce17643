#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace carawayrelay {

// An operator's request to move the traffic of a service to another version of
// its backend servers.
struct RolloutSpec {
  std::string service;
  std::string to;  // version of the new backend servers
  // Time from the write of the spec until the rollout must be over.
  std::chrono::milliseconds duration{0};
  // Version of the row in the store; changes with each write of the spec.
  std::uint64_t row_version = 0;
  // Why the spec cannot be carried out; empty for a valid one.
  std::string problem;
  // Whether this process was running and knew the table before the spec was
  // written.
  bool was_seen_live = false;
};

}  // namespace carawayrelay

#pragma once

namespace carawayrelay {

// How the rollout of a service allows a backend server to be used.
enum class VersionUse {
  kNormal,
  kPreferred,  // chosen before all others that are not avoided
  kReserve,    // chosen only if no other backend server is healthy
  kRefused,    // gets no request
};

}  // namespace carawayrelay

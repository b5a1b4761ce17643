#pragma once

#include "process/health/server_health.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// What the selection knows about the request and the backend server.
struct HealthQuery {
  bool is_repeatable = true;
  // This process has a request running on the backend server.
  bool is_busy = false;
  // Some backend server of the service failed recently.
  bool service_has_failures = false;
  // The backend server answered recently and did not fail.
  bool is_proven = false;
};

// Returns what is added to the cost of a backend server, which is the share of
// its slots in use. Never excludes one: a bad backend server is used if there
// is no other. `draw` is a random number from 0 to 1.
double HealthPenalty(const ServerHealth& health,
                     const HealthQuery& query,
                     double draw,
                     TimePoint now);

}  // namespace carawayrelay

#pragma once

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

// Events and actions that the decisions of both roles share.

// A version of the configuration to work under from now on.
struct ConfigAdopted {
  ConfigPtr config;
};

// Time passed.
struct Tick {};

// Begins the graceful shutdown.
struct StopRequested {};

// No request or call is left after StopRequested.
struct Drained {};

struct SendMessage {
  ConnectionId connection{0};
  Message message;
};

}  // namespace carawayrelay

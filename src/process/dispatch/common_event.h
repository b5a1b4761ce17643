#pragma once

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

// Events and actions that several of the state machines share.

// Time passed.
struct Tick {};

// Begins the graceful shutdown.
struct StopRequested {};

// A configuration version to work under from now on. Ignored unless it is
// higher than the known one.
struct ConfigAdopted {
  ConfigPtr config;
};

struct SendMessage {
  ConnectionId connection{0};
  Message message;
};

// The graceful shutdown is complete and the process may end.
struct Drained {};

}  // namespace carawayrelay

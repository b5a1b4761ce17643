#pragma once

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"

namespace carawayrelay {

// Events and actions shared by several state machines.

// Lets a state machine process the deadlines that have passed.
struct Tick {};

// Starts a graceful shutdown.
struct StopRequested {};

// The configuration to use from now on. Ignored unless its version is higher
// than the current one.
struct ConfigAdopted {
  ConfigPtr config;
};

// Sends a message on an open connection.
struct SendMessage {
  ConnectionId connection{0};
  Message message;
};

// The graceful shutdown is complete and the process may exit.
struct Drained {};

}  // namespace carawayrelay

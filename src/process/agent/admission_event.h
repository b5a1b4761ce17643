#pragma once

#include <string>
#include <variant>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"
#include "process/agent/backend_call.h"
#include "process/dispatch/common_event.h"
#include "process/transport/link_thread.h"

namespace carawayrelay {

// Load that the backend server reports. It lags behind the actual load and is
// only a hint.
struct LoadReport {
  // False when no connection to the backend server could be opened.
  bool is_reachable = true;
  int running = 0;
  int waiting = 0;
};

// Input of AdmissionController.
using AdmissionEvent = std::variant<LinkUp,
                                    LinkMessage,
                                    LinkDown,
                                    BackendStarted,
                                    BackendPart,
                                    BackendEnd,
                                    BackendFailed,
                                    BackendCancelled,
                                    LoadReport,
                                    Tick,
                                    StopRequested>;

// Starts a call to the backend server.
struct StartCall {
  BackendCall call;
};

// Cancels a call to the backend server. It is followed by BackendCancelled, or
// by BackendEnd or BackendFailed if the call ended first.
struct CancelCall {
  CallId call{0};
};

// A newer configuration version from an entry was invalid and is not used.
struct ConfigRejected {
  ConfigVersion version = kNoConfig;
  std::string reason;
};

// Output of AdmissionController.
using AdmissionAction = std::variant<SendMessage,
                                     StartCall,
                                     CancelCall,
                                     ConfigAdopted,
                                     ConfigRejected,
                                     Drained>;

}  // namespace carawayrelay

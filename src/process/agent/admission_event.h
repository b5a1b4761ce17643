#pragma once

#include <string>
#include <variant>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"
#include "process/agent/backend_call.h"
#include "process/dispatch/common_event.h"
#include "process/transport/link_thread.h"

namespace carawayrelay {

// Load that the engine reports of itself. It lags and is a hint only.
struct LoadReport {
  // False when nothing listens at the address of the backend server.
  bool is_reachable = true;
  int running = 0;
  int waiting = 0;
};

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

struct StartCall {
  BackendCall call;
};

// Answered by BackendCancelled, or by the end of the call when that came first.
struct CancelCall {
  CallId call{0};
};

// A newer configuration of a peer was not usable.
struct ConfigRejected {
  ConfigVersion version = kNoConfig;
  std::string reason;
};

using AdmissionAction = std::variant<SendMessage,
                                     StartCall,
                                     CancelCall,
                                     ConfigAdopted,
                                     ConfigRejected,
                                     Drained>;

}  // namespace carawayrelay

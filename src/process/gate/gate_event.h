#pragma once

#include <string>
#include <variant>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"
#include "process/dispatch/common_event.h"
#include "process/gate/engine_call.h"
#include "process/transport/link_thread.h"

namespace carawayrelay {

// Load that the engine reports of itself. It lags and is a hint only.
struct LoadReport {
  // False when nothing listens at the address of the backend server.
  bool is_reachable = true;
  int running = 0;
  int waiting = 0;
};

using GateEvent = std::variant<LinkUp,
                               LinkMessage,
                               LinkDown,
                               EngineStarted,
                               EnginePart,
                               EngineEnd,
                               EngineFailed,
                               EngineCancelled,
                               LoadReport,
                               Tick,
                               StopRequested>;

struct StartCall {
  EngineCall call;
};

// Answered by EngineCancelled, or by the end of the call when that came first.
struct CancelCall {
  CallId call{0};
};

// A newer configuration of a peer was not usable.
struct ConfigRejected {
  ConfigVersion version = kNoConfig;
  std::string reason;
};

using GateAction = std::variant<SendMessage,
                                StartCall,
                                CancelCall,
                                ConfigAdopted,
                                ConfigRejected,
                                Drained>;

}  // namespace carawayrelay

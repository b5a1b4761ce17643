#pragma once

#include <exception>
#include <utility>

#include "process/telemetry/decision_log.h"

namespace carawayrelay {

// Runs one step of an event loop. An exception, for example about a message of
// another process, ends the step and is logged; the process goes on with the
// next event.
template <class Step>
void RunStep(Step&& step) {
  try {
    std::forward<Step>(step)();
  } catch (const std::exception& e) {
    LogDecision(LogEvent::kEventFailed, "reason", e.what());
  }
}

}  // namespace carawayrelay

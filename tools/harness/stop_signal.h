#pragma once

#include <chrono>
#include <csignal>
#include <functional>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// SIGINT and SIGTERM as values. Make it before any thread starts, because it
// blocks both signals in the calling thread and those started from it.
class StopSignal {
 public:
  StopSignal();

  // Waits until a signal arrives or the time passes. Returns true when a
  // signal has arrived, now or before.
  bool WaitFor(std::chrono::milliseconds time);
  // Waits until a signal arrives.
  void Wait();
  // Calls `condition` at intervals until it returns true. Returns false when
  // the limit passed or a signal arrived.
  bool PollUntil(const std::function<bool()>& condition,
                 std::chrono::milliseconds limit);
  bool HasArrived() const { return has_arrived_; }

 private:
  sigset_t signals_{};
  bool has_arrived_ = false;
};

}  // namespace carawayrelay::tools

#pragma once

#include <chrono>
#include <csignal>
#include <functional>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Receives SIGINT and SIGTERM synchronously. Construct it before any thread is
// started, because it blocks both signals in the calling thread and in threads
// that this thread starts later.
class StopSignal {
 public:
  StopSignal();

  // Waits until a signal arrives or `time` passes. Returns whether a signal has
  // arrived, now or earlier.
  bool WaitFor(std::chrono::milliseconds time);
  // Waits without a time limit until a signal arrives.
  void Wait();
  // Calls `condition` repeatedly until it returns true. Returns false when
  // `limit` passes or a signal arrives first.
  bool PollUntil(const std::function<bool()>& condition,
                 std::chrono::milliseconds limit);
  bool HasArrived() const { return has_arrived_; }

 private:
  sigset_t signals_{};
  bool has_arrived_ = false;
};

}  // namespace carawayrelay::tools

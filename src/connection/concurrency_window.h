#pragma once

#include <chrono>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Limits the number of concurrent calls of an agent to its backend server.
//
// The window starts at the cold limit. It grows by one each time the number of
// successful calls since its last change equals its size. A slow first token or
// a failure resets it to the cold limit, because a backend server can become
// cold at any time without notice.
class ConcurrencyWindow {
 public:
  struct Limits {
    // Size of the window while the backend server is assumed to be cold.
    int cold = 1;
    int max = 1;
    // A first token that takes longer than this resets the window.
    std::chrono::milliseconds slow_first_token{1000};
  };

  explicit ConcurrencyWindow(Limits limits);

  int size() const { return size_; }
  bool IsCold() const { return is_cold_; }

  // Records at `now` the first token of a call that started at `started`.
  void OnFirstToken(TimePoint started, TimePoint now);
  // Records a complete response without a first-token time, of a call that
  // started at `started`.
  void OnResponse(TimePoint started);
  // Records that the backend server refused a call, aborted its response or was
  // unreachable.
  void OnFailure(TimePoint now);

 private:
  void CountSuccess();
  void ResetToCold(TimePoint now);

  Limits limits_;
  int size_;
  int successes_ = 0;
  bool is_cold_ = true;
  // Results of calls that started before this time are ignored, because they
  // say nothing about the smaller window.
  TimePoint last_reset_{};
};

}  // namespace carawayrelay

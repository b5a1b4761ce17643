#pragma once

#include <chrono>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Number of concurrent calls that an agent allows on its backend server.
//
// The window starts at the cold limit and grows by one after each full window
// of good first-token times. A slow first token or a failure sets it back to
// the cold limit, because a backend server becomes cold without warning.
class ConcurrencyWindow {
 public:
  struct Limits {
    int cold = 1;
    int max = 1;
    std::chrono::milliseconds slow_first_token{1000};
  };

  explicit ConcurrencyWindow(Limits limits);

  int size() const { return size_; }
  bool IsCold() const { return is_cold_; }

  // Reports the first output of a call that started at `started`.
  void OnFirstToken(TimePoint started, TimePoint now);
  // Reports a whole response that tells nothing about its first token, of a
  // call that started at `started`.
  void OnResponse(TimePoint started);
  // Reports that the backend server refused, broke off or was unreachable.
  void OnFailure(TimePoint now);

 private:
  void CountSuccess();
  void ResetToCold(TimePoint now);

  Limits limits_;
  int size_;
  int successes_ = 0;
  bool is_cold_ = true;
  // Calls that started before the last fall say nothing about the smaller
  // window.
  TimePoint last_reset_{};
};

}  // namespace carawayrelay

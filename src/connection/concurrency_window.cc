#include "connection/concurrency_window.h"

#include <algorithm>
#include <cassert>

namespace carawayrelay {

ConcurrencyWindow::ConcurrencyWindow(Limits limits)
    : limits_(limits), size_(limits.cold) {
  assert(limits.cold >= 1 && limits.cold <= limits.max);
}

void ConcurrencyWindow::OnFirstToken(TimePoint started, TimePoint now) {
  if (started < last_reset_) {
    return;
  }
  if (now - started > limits_.slow_first_token) {
    ResetToCold(now);
    return;
  }
  CountSuccess();
}

void ConcurrencyWindow::OnResponse(TimePoint started) {
  if (started >= last_reset_) {
    CountSuccess();
  }
}

void ConcurrencyWindow::CountSuccess() {
  ++successes_;
  if (successes_ < size_) {
    return;
  }
  successes_ = 0;
  is_cold_ = false;
  size_ = std::min(size_ + 1, limits_.max);
}

void ConcurrencyWindow::OnFailure(TimePoint now) {
  ResetToCold(now);
}

void ConcurrencyWindow::ResetToCold(TimePoint now) {
  size_ = limits_.cold;
  successes_ = 0;
  is_cold_ = true;
  last_reset_ = now;
}

}  // namespace carawayrelay

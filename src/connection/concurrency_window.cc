#include "connection/concurrency_window.h"

#include <algorithm>
#include <cassert>

namespace carawayrelay {

ConcurrencyWindow::ConcurrencyWindow(Limits limits)
    : limits_(limits), size_(limits.cold) {
  assert(limits.cold >= 1 && limits.cold <= limits.max);
}

void ConcurrencyWindow::OnFirstToken(TimePoint started, TimePoint now) {
  if (started < fell_at_) {
    return;
  }
  if (now - started > limits_.slow_first_token) {
    FallBack(now);
    return;
  }
  CountGood();
}

void ConcurrencyWindow::OnResponse(TimePoint started) {
  if (started >= fell_at_) {
    CountGood();
  }
}

void ConcurrencyWindow::CountGood() {
  ++good_;
  if (good_ < size_) {
    return;
  }
  good_ = 0;
  is_cold_ = false;
  size_ = std::min(size_ + 1, limits_.max);
}

void ConcurrencyWindow::OnFailure(TimePoint now) {
  FallBack(now);
}

void ConcurrencyWindow::FallBack(TimePoint now) {
  size_ = limits_.cold;
  good_ = 0;
  is_cold_ = true;
  fell_at_ = now;
}

}  // namespace carawayrelay

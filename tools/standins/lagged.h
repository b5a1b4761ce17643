#pragma once

#include <deque>
#include <utility>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// A value whose changes become visible `lag` after they were set. Not
// thread-safe.
template <class T>
class Lagged {
 public:
  Lagged(T initial, Duration lag) : lag_(lag), visible_(std::move(initial)) {}

  void Set(T value, TimePoint now) {
    Advance(now);
    changes_.emplace_back(now + lag_, std::move(value));
  }

  const T& Get(TimePoint now) {
    Advance(now);
    return visible_;
  }

 private:
  void Advance(TimePoint now) {
    while (!changes_.empty() && changes_.front().first <= now) {
      visible_ = std::move(changes_.front().second);
      changes_.pop_front();
    }
  }

  Duration lag_;
  T visible_;
  std::deque<std::pair<TimePoint, T>> changes_;
};

}  // namespace carawayrelay::tools

#pragma once

#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Performs actions after a delay that may change, without ever changing their
// order. All calls on the thread of the io_context.
class DeliveryQueue {
 public:
  explicit DeliveryQueue(asio::io_context& io) : timer_(io) {}

  void SetDelay(Duration delay) { delay_ = delay; }
  Duration delay() const { return delay_; }
  void Add(std::function<void()> action);

 private:
  struct Entry {
    TimePoint due;
    std::function<void()> action;
  };

  void Schedule();
  void RunDueActions();

  asio::steady_timer timer_;
  Duration delay_{0};
  std::deque<Entry> entries_;
};

}  // namespace carawayrelay::tools

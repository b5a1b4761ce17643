#pragma once

#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

// Runs actions in the order in which they were added, each after the delay that
// was set at that time. An action whose delay is shorter than that of an
// earlier one waits for the earlier one. Everything runs on the thread of the
// io_context.
class DeliveryQueue {
 public:
  explicit DeliveryQueue(asio::io_context& io) : timer_(io) {}

  void SetDelay(Duration delay) { delay_ = delay; }
  Duration delay() const { return delay_; }
  // Runs `action` before it returns if the delay is zero and no action waits.
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

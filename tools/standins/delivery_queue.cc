#include "standins/delivery_queue.h"

#include <algorithm>
#include <utility>

namespace carawayrelay::tools {

void DeliveryQueue::Add(std::function<void()> action) {
  if (delay_ == Duration::zero() && entries_.empty()) {
    action();
    return;
  }
  const TimePoint due = BootClock::now() + delay_;
  const bool idle = entries_.empty();
  entries_.push_back(
      {idle ? due : std::max(due, entries_.back().due), std::move(action)});
  if (idle) {
    Schedule();
  }
}

void DeliveryQueue::Schedule() {
  timer_.expires_after(entries_.front().due - BootClock::now());
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      RunDueActions();
    }
  });
}

void DeliveryQueue::RunDueActions() {
  while (!entries_.empty() && entries_.front().due <= BootClock::now()) {
    const std::function<void()> action = std::move(entries_.front().action);
    entries_.pop_front();
    action();
  }
  if (!entries_.empty()) {
    Schedule();
  }
}

}  // namespace carawayrelay::tools

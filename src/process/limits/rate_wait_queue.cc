#include "process/limits/rate_wait_queue.h"

#include <utility>

namespace carawayrelay {
namespace {

constexpr size_t kMaxWaiters = 256;
constexpr size_t kMaxWaitersOfWorkspace = 32;

}  // namespace

bool RateWaitQueue::HasPlace(const std::string& workspace) const {
  const auto known = count_by_workspace_.find(workspace);
  const size_t count = known == count_by_workspace_.end() ? 0 : known->second;
  return waiters_.size() < kMaxWaiters && count < kMaxWaitersOfWorkspace;
}

void RateWaitQueue::Add(RateWaiter waiter, TimePoint ask_at) {
  ++count_by_workspace_[waiter.workspace];
  waiters_.emplace(ask_at, std::move(waiter));
}

std::vector<RateWaiter> RateWaitQueue::TakeDue(TimePoint now) {
  std::vector<RateWaiter> due;
  while (!waiters_.empty() && waiters_.begin()->first <= now) {
    RateWaiter waiter = std::move(waiters_.begin()->second);
    waiters_.erase(waiters_.begin());
    const auto count = count_by_workspace_.find(waiter.workspace);
    if (--count->second == 0) {
      count_by_workspace_.erase(count);
    }
    due.push_back(std::move(waiter));
  }
  return due;
}

std::optional<TimePoint> RateWaitQueue::NextDue() const {
  return waiters_.empty() ? std::nullopt
                          : std::optional<TimePoint>(waiters_.begin()->first);
}

}  // namespace carawayrelay

#include "process/transport/request_memory_budget.h"

#include <iterator>

namespace carawayrelay {

RequestMemoryBudget::Account::~Account() {
  const std::lock_guard lock(budget_->mutex_);
  budget_->unfinished_.erase({bytes_, this});
  budget_->counters_.held_bytes -= bytes_;
}

bool RequestMemoryBudget::Account::Resize(size_t bytes) {
  const std::lock_guard lock(budget_->mutex_);
  if (is_evicted_) {
    return false;
  }
  size_t& held = budget_->counters_.held_bytes;
  auto& unfinished = budget_->unfinished_;
  while (bytes > bytes_ && held - bytes_ + bytes > budget_->max_bytes_) {
    Account* const largest =
        unfinished.empty() ? nullptr : unfinished.rbegin()->second;
    if (largest == nullptr || largest == this || largest->bytes_ < bytes) {
      ++budget_->counters_.refused_requests;
      return false;
    }
    budget_->Evict(*largest);
  }
  held += bytes - bytes_;
  if (unfinished.erase({bytes_, this}) > 0) {
    unfinished.emplace(bytes, this);
  }
  bytes_ = bytes;
  return true;
}

bool RequestMemoryBudget::Account::SetComplete() {
  const std::lock_guard lock(budget_->mutex_);
  budget_->unfinished_.erase({bytes_, this});
  return !is_evicted_;
}

std::unique_ptr<RequestMemoryBudget::Account> RequestMemoryBudget::Open(
    std::function<void()> evict) {
  std::unique_ptr<Account> account(
      new Account(shared_from_this(), std::move(evict)));
  const std::lock_guard lock(mutex_);
  unfinished_.emplace(0, account.get());
  return account;
}

RequestMemoryBudget::Counters RequestMemoryBudget::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

void RequestMemoryBudget::CountClosedConnection() {
  const std::lock_guard lock(mutex_);
  ++counters_.closed_connections;
}

void RequestMemoryBudget::CountRejectedRequest() {
  const std::lock_guard lock(mutex_);
  ++counters_.rejected_requests;
}

// The bytes count as returned at once. Until the connection has handled the
// eviction, the process holds them in addition to the budget.
void RequestMemoryBudget::Evict(Account& account) {
  unfinished_.erase({account.bytes_, &account});
  counters_.held_bytes -= account.bytes_;
  ++counters_.refused_requests;
  account.bytes_ = 0;
  account.is_evicted_ = true;
  account.evict_();
}

}  // namespace carawayrelay

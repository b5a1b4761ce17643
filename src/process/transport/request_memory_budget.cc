#include "process/transport/request_memory_budget.h"

#include <iterator>
#include <vector>

namespace carawayrelay {

RequestMemoryBudget::Account::~Account() {
  const std::lock_guard lock(budget_->mutex_);
  budget_->unfinished_.erase({bytes_, this});
  budget_->counters_.held_bytes -= bytes_;
}

bool RequestMemoryBudget::Account::Resize(size_t bytes) {
  std::vector<std::function<void()>> evictions;
  const bool has_fit = budget_->Resize(*this, bytes, evictions);
  for (const auto& evict : evictions) {
    evict();
  }
  return has_fit;
}

bool RequestMemoryBudget::Resize(
    Account& account,
    size_t bytes,
    std::vector<std::function<void()>>& evictions) {
  const std::lock_guard lock(mutex_);
  if (account.is_evicted_) {
    return false;
  }
  size_t& held = counters_.held_bytes;
  while (bytes > account.bytes_ && held - account.bytes_ + bytes > max_bytes_) {
    Account* const largest =
        unfinished_.empty() ? nullptr : unfinished_.rbegin()->second;
    if (largest == nullptr || largest == &account || largest->bytes_ < bytes) {
      ++counters_.refused_requests;
      return false;
    }
    evictions.push_back(TakeBack(*largest));
  }
  held += bytes - account.bytes_;
  if (unfinished_.erase({account.bytes_, &account}) > 0) {
    unfinished_.emplace(bytes, &account);
  }
  account.bytes_ = bytes;
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

std::function<void()> RequestMemoryBudget::TakeBack(Account& account) {
  unfinished_.erase({account.bytes_, &account});
  counters_.held_bytes -= account.bytes_;
  ++counters_.refused_requests;
  account.bytes_ = 0;
  account.is_evicted_ = true;
  return account.evict_;
}

}  // namespace carawayrelay

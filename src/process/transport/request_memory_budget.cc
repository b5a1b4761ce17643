#include "process/transport/request_memory_budget.h"

#include <vector>

namespace carawayrelay {

RequestMemoryBudget::Account::~Account() {
  const std::lock_guard lock(budget_->mutex_);
  budget_->unfinished_.erase({progress_, this});
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
  if (bytes >= account.progress_bytes_ + kProgressBytes) {
    MarkProgress(account, bytes);
  }
  size_t& held = counters_.held_bytes;
  while (bytes > account.bytes_ && held - account.bytes_ + bytes > max_bytes_) {
    Account* const victim = ChooseVictim();
    if (victim == nullptr || victim == &account) {
      ++counters_.refused_requests;
      return false;
    }
    evictions.push_back(TakeBack(*victim));
  }
  held += bytes - account.bytes_;
  account.bytes_ = bytes;
  return true;
}

bool RequestMemoryBudget::Account::SetComplete() {
  const std::lock_guard lock(budget_->mutex_);
  budget_->unfinished_.erase({progress_, this});
  return !is_evicted_;
}

std::unique_ptr<RequestMemoryBudget::Account> RequestMemoryBudget::Open(
    std::function<void()> evict) {
  std::unique_ptr<Account> account(
      new Account(shared_from_this(), std::move(evict)));
  const std::lock_guard lock(mutex_);
  account->progress_ = ++progress_;
  unfinished_.emplace(account->progress_, account.get());
  return account;
}

void RequestMemoryBudget::SetMaxBytes(size_t max_bytes) {
  const std::lock_guard lock(mutex_);
  max_bytes_ = max_bytes;
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

void RequestMemoryBudget::MarkProgress(Account& account, size_t bytes) {
  account.progress_bytes_ = bytes;
  if (unfinished_.erase({account.progress_, &account}) > 0) {
    account.progress_ = ++progress_;
    unfinished_.emplace(account.progress_, &account);
  }
}

RequestMemoryBudget::Account* RequestMemoryBudget::ChooseVictim() const {
  Account* victim = nullptr;
  std::uint64_t most = 0;
  size_t candidates = 0;
  for (const auto& [progress, account] : unfinished_) {
    const std::uint64_t cost = account->bytes_ * (progress_ - progress);
    if (victim == nullptr || cost > most) {
      victim = account;
      most = cost;
    }
    if (++candidates == kCandidates) {
      break;
    }
  }
  return victim;
}

std::function<void()> RequestMemoryBudget::TakeBack(Account& account) {
  unfinished_.erase({account.progress_, &account});
  counters_.held_bytes -= account.bytes_;
  ++counters_.refused_requests;
  account.bytes_ = 0;
  account.is_evicted_ = true;
  return account.evict_;
}

}  // namespace carawayrelay

#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <utility>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Bounded record of the attempts that ended most recently, so that a Submit
// that is received twice does not run twice. Drops the oldest attempt when it
// is full.
class EndedAttempts {
 public:
  using Key = std::pair<ConnectionId, AttemptId>;

  // Covers the calls of one backend server over several seconds.
  static constexpr size_t kDefaultCapacity = 4096;

  explicit EndedAttempts(size_t capacity = kDefaultCapacity)
      : capacity_(capacity) {}

  void Insert(const Key& key) {
    if (!keys_.insert(key).second) {
      return;
    }
    order_.push_back(key);
    if (order_.size() > capacity_) {
      keys_.erase(order_.front());
      order_.pop_front();
    }
  }

  bool Contains(const Key& key) const { return keys_.contains(key); }

 private:
  size_t capacity_;
  std::set<Key> keys_;
  std::deque<Key> order_;  // oldest first
};

}  // namespace carawayrelay

#include "connection/fence_tracker.h"

#include <cassert>
#include <utility>

namespace carawayrelay {

FenceTracker::FenceTracker(size_t capacity) : capacity_(capacity) {
  assert(capacity > 0);
}

bool FenceTracker::Accept(const std::string& job,
                          std::uint64_t chunk,
                          Fence fence) {
  std::string key = job + '/' + std::to_string(chunk);
  const auto found = index_.find(key);
  if (found != index_.end()) {
    Entry& entry = *found->second;
    if (fence < entry.fence) {
      return false;
    }
    entry.fence = fence;
    entries_.splice(entries_.begin(), entries_, found->second);
    return true;
  }
  if (index_.size() == capacity_) {
    index_.erase(entries_.back().key);
    entries_.pop_back();
  }
  entries_.push_front({.key = key, .fence = fence});
  index_.emplace(std::move(key), entries_.begin());
  return true;
}

}  // namespace carawayrelay

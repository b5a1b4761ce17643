#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Tracks the highest fence that an agent has received for each chunk, so that a
// former owner of a chunk cannot start work on it, even if the backend server
// does not check fences. Evicts the least recently used chunk when it is full.
class FenceTracker {
 public:
  // At the design load an agent receives at most 33 chunks/s, so this covers
  // the last four minutes.
  static constexpr size_t kDefaultCapacity = 8192;

  explicit FenceTracker(size_t capacity = kDefaultCapacity);

  // Records the fence and returns true, or returns false when a higher fence
  // was recorded for the chunk.
  bool Accept(const std::string& job, std::uint64_t chunk, Fence fence);

  size_t size() const { return index_.size(); }

 private:
  struct Entry {
    std::string key;
    Fence fence{0};
  };

  size_t capacity_;
  // Most recently used first.
  std::list<Entry> entries_;
  std::unordered_map<std::string, std::list<Entry>::iterator> index_;
};

}  // namespace carawayrelay

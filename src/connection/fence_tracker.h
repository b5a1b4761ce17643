#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

#include "carawayrelay/request.h"

namespace carawayrelay {

// Highest fence that an agent has seen for each chunk, so that the former
// owner of a chunk cannot start work on it, whether or not the engine checks
// fences. Forgets the chunks that were used least recently when it is full.
class FenceTracker {
 public:
  // At the design size an agent sees 33 chunks/s at most, so this covers the
  // last four minutes.
  static constexpr size_t kDefaultCapacity = 8192;

  explicit FenceTracker(size_t capacity = kDefaultCapacity);

  // Remembers the fence and returns true, or returns false when a higher fence
  // was seen for the chunk.
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

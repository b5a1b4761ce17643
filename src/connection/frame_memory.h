#pragma once

#include <cstddef>
#include <list>

namespace carawayrelay {

class Link;

// Limits the memory of the incomplete frames that the links of one thread
// receive. Not thread-safe.
class FrameMemory {
 public:
  // The part of one link.
  class Part {
   public:
    Part(FrameMemory& memory, Link& link) : memory_(memory), link_(link) {}
    ~Part() { Release(); }
    Part(const Part&) = delete;
    Part& operator=(const Part&) = delete;

    // Adds bytes for the frame that the link receives, which counts as
    // progress. When the memory is exhausted, closes the links of oldest
    // progress. Returns false if the others have nothing to return.
    bool Reserve(size_t bytes);
    // Returns all bytes.
    void Release();

   private:
    FrameMemory& memory_;
    Link& link_;
    size_t bytes_ = 0;
    std::list<Link*>::iterator position_;  // valid while `bytes_` > 0
  };

  explicit FrameMemory(size_t max_bytes) : max_bytes_(max_bytes) {}

 private:
  const size_t max_bytes_;
  size_t bytes_ = 0;
  // Links with an incomplete frame, by their last progress.
  std::list<Link*> order_;
};

}  // namespace carawayrelay

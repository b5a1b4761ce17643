#include "connection/frame_memory.h"

#include <utility>

#include "connection/link.h"

namespace carawayrelay {

bool FrameMemory::Part::Reserve(size_t bytes) {
  if (bytes_ > 0) {
    memory_.order_.erase(position_);
  }
  position_ = memory_.order_.insert(memory_.order_.end(), &link_);
  bytes_ += bytes;
  memory_.bytes_ += bytes;
  while (memory_.bytes_ > memory_.max_bytes_) {
    Link& oldest = *memory_.order_.front();
    if (&oldest == &link_) {
      return false;
    }
    oldest.Close(
        "frame does not arrive while the memory for frames is used up");
  }
  return true;
}

void FrameMemory::Part::Release() {
  if (bytes_ > 0) {
    memory_.order_.erase(position_);
    memory_.bytes_ -= std::exchange(bytes_, 0);
  }
}

}  // namespace carawayrelay

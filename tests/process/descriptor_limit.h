#pragma once

#include <sys/resource.h>

namespace carawayrelay {

// Lowers the number of descriptors that a process may open, for the processes
// that are started while it exists.
class ScopedDescriptorLimit {
 public:
  explicit ScopedDescriptorLimit(rlim_t descriptors) {
    getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit lowered{.rlim_cur = descriptors, .rlim_max = before_.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~ScopedDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &before_); }
  ScopedDescriptorLimit(const ScopedDescriptorLimit&) = delete;
  ScopedDescriptorLimit& operator=(const ScopedDescriptorLimit&) = delete;

 private:
  rlimit before_{};
};

}  // namespace carawayrelay

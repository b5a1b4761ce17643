#pragma once

#include <cstdint>

namespace carawayrelay {

// Counts the requests that this process sends to one service during a rollout,
// and limits those to the canary version to a share of them. Since every
// process keeps the limit for its own requests, the sum over all processes
// keeps it too, whatever is cut off or restarted.
class VersionShare {
 public:
  VersionShare() = default;
  // `credit` is the number of requests, usually less than one, that may go to
  // the canary version beyond the share.
  VersionShare(double share, double credit) : share_(share), credit_(credit) {}

  // Whether the next request may go to the canary version.
  bool AllowsCanary() const {
    return static_cast<double>(canary_ + 1) <=
           credit_ + share_ * static_cast<double>(total_ + 1);
  }
  // Records each request that is sent, also a repeated one.
  void NoteSent(bool is_canary) {
    ++total_;
    canary_ += is_canary ? 1 : 0;
  }
  std::uint64_t total() const { return total_; }
  std::uint64_t canary() const { return canary_; }

 private:
  double share_ = 0;
  double credit_ = 0;
  std::uint64_t total_ = 0;
  std::uint64_t canary_ = 0;
};

}  // namespace carawayrelay

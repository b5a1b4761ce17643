#pragma once

#include <chrono>
#include <optional>

#include "request/boot_clock.h"

namespace carawayrelay {

// The time that a process has left after its stop signal. Each request that is
// accepted meanwhile gets its response before the process ends, because a
// request is accepted only if its time limit ends first.
class GracefulStop {
 public:
  // `grace` is the time between the stop signal and the kill of the process.
  explicit GracefulStop(std::chrono::milliseconds grace) : grace_(grace) {}

  // Records the stop signal.
  void Begin(TimePoint now) { begun_at_ = now; }
  bool HasBegun() const { return begun_at_.has_value(); }
  // Whether a request that ends at `deadline` at the latest may be accepted.
  bool AllowsUntil(TimePoint deadline) const;
  // Whether the load balancer has stopped sending clients here.
  bool IsDeregistered(TimePoint now) const;
  // Whether the process must end now.
  bool IsOver(TimePoint now) const;

 private:
  const std::chrono::milliseconds grace_;
  std::optional<TimePoint> begun_at_;
};

}  // namespace carawayrelay

#include "process/serving/graceful_stop.h"

namespace carawayrelay {
namespace {

using std::chrono::milliseconds;

// Time that the load balancer needs after a stop signal to route clients to
// other frontends.
constexpr milliseconds kDeregistrationDelay{3000};
// Part of the grace period that is reserved for ending the threads.
constexpr milliseconds kShutdownReserve{700};
// From the deadline of a request until its response has left the process.
constexpr milliseconds kResponseReserve{200};

}  // namespace

bool GracefulStop::AllowsUntil(TimePoint deadline) const {
  return !begun_at_ || deadline + kResponseReserve <=
                           *begun_at_ + (grace_ - kShutdownReserve);
}

bool GracefulStop::IsDeregistered(TimePoint now) const {
  return begun_at_ && now - *begun_at_ >= kDeregistrationDelay;
}

bool GracefulStop::IsOver(TimePoint now) const {
  return begun_at_ && now - *begun_at_ >= grace_ - kShutdownReserve;
}

}  // namespace carawayrelay

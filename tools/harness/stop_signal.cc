#include "harness/stop_signal.h"

#include <pthread.h>

#include <ctime>

namespace carawayrelay::tools {
namespace {

constexpr std::chrono::milliseconds kPollInterval{50};

}  // namespace

StopSignal::StopSignal() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGINT);
  sigaddset(&signals_, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

bool StopSignal::WaitFor(std::chrono::milliseconds time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const timespec limit{
      seconds.count(),
      std::chrono::duration_cast<std::chrono::nanoseconds>(time - seconds)
          .count()};
  if (!has_arrived_) {
    has_arrived_ = sigtimedwait(&signals_, nullptr, &limit) > 0;
  }
  return has_arrived_;
}

void StopSignal::Wait() {
  while (!has_arrived_) {
    has_arrived_ = sigwaitinfo(&signals_, nullptr) > 0;
  }
}

bool StopSignal::PollUntil(const std::function<bool()>& condition,
                           std::chrono::milliseconds limit) {
  const TimePoint deadline = BootClock::now() + limit;
  while (!condition()) {
    if (BootClock::now() >= deadline || WaitFor(kPollInterval)) {
      return false;
    }
  }
  return true;
}

}  // namespace carawayrelay::tools

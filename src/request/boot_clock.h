#pragma once

#include <chrono>
#include <ctime>

namespace carawayrelay {

// Monotonic clock that keeps running while the VM is suspended. Leases are
// checked against it, because a process must notice after a resume that its
// lease has expired.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) +
                      std::chrono::nanoseconds(ts.tv_nsec));
  }
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

}  // namespace carawayrelay

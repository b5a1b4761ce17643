#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "request/boot_clock.h"

namespace carawayrelay {

// How one attempt to run an online request on a backend server ended.
enum class AttemptResult {
  kAnswered,   // a complete response arrived; 4xx answers count as well
  kFailed,     // broken, invalid, silent, or a 5xx answer
  kTimedOut,   // the time limit of the request passed meanwhile
  kDeclined,   // the backend server did not run it
  kCancelled,  // the client disconnected, or this process stops
};

constexpr const char* ToString(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kTimedOut:
      return "timed_out";
    case AttemptResult::kDeclined:
      return "declined";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

// What one attempt showed about its backend server, for the modules that judge
// backend servers and versions.
struct AttemptOutcome {
  std::string backend_id;
  std::string service;
  std::string route;
  AttemptResult result = AttemptResult::kAnswered;
  // Whether the request may run more than once.
  bool is_repeatable = false;
  // Whether the attempt once made no progress for Options::silence_limit of the
  // forwarder, which was passed to Options::observe_silence then.
  bool was_silent = false;
  // Prompt tokens plus the maximum output tokens; 0 when not known.
  std::int64_t tokens = 0;
  // Events with data of this attempt.
  std::uint64_t events = 0;
  // From sending the request to the first event with data; not set without one.
  std::optional<Duration> first_event;
  // Longest time between two events with data.
  Duration longest_pause{0};
  // From sending the request to the end of the attempt.
  Duration total{0};
};

}  // namespace carawayrelay

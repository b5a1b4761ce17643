#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "request/boot_clock.h"
#include "request/error.h"
#include "request/prompt_parts.h"

namespace carawayrelay {

// A backend server that dropped the connections of requests before their
// answers were whole. It may have crashed on one of their prompts.
struct BackendCrash {
  std::string backend_id;
  TimePoint at{};
  // Parts of the prompts of the broken requests, without those on which this
  // process had just got a whole answer.
  PromptParts suspects;
};

// A part of a prompt on which a backend server sent a whole answer.
struct AnsweredPart {
  std::string part;
  TimePoint at{};
};

// What one process tells the others in its row of the store.
struct CrashReport {
  std::vector<BackendCrash> crashes;
  std::vector<AnsweredPart> answered;

  bool IsEmpty() const { return crashes.empty() && answered.empty(); }
};

// The same moment on the clock of this process and on that of the store. Times
// in rows are times of the store's clock.
struct ClockPair {
  TimePoint local{};
  std::chrono::milliseconds store{0};
};

std::string EncodeCrashReport(const CrashReport& report,
                              const ClockPair& clocks);
// Fails with kInvalid when `text` is not a report. Entries that cannot be read,
// and those beyond the limits of a report, are left out.
Result<CrashReport> DecodeCrashReport(const std::string& text,
                                      const ClockPair& clocks);

}  // namespace carawayrelay

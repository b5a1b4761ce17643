#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include "process/telemetry/events.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Starts the structured log of the process: JSON lines on standard output,
// written by a background thread. When that thread falls behind, the oldest
// queued lines are dropped and counted. Every line carries `node` as the name
// of this process.
void StartDecisionLog(const std::string& node);
// Writes the queued lines and stops the background thread.
void StopDecisionLog();
// Number of lines dropped because an event was over its budget or the queue was
// full.
std::uint64_t DroppedLogLines();

inline std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

namespace internal {

// Counts one line against the per-second budget of `event`. Returns false, and
// counts the line as dropped, when the budget is used up.
bool ConsumeLogBudget(LogEvent event);
void WriteLogLine(const std::string& line);
std::string BeginLogLine(LogEvent event);
void AppendText(std::string& line, std::string_view value);

template <class Value>
void AppendField(std::string& line, std::string_view name, const Value& value) {
  line += ",\"";
  line += name;
  line += "\":";
  if constexpr (std::is_same_v<Value, bool>) {
    line += value ? "true" : "false";
  } else if constexpr (std::is_enum_v<Value>) {
    line += std::to_string(static_cast<std::uint64_t>(value));
  } else if constexpr (std::is_arithmetic_v<Value>) {
    line += std::to_string(value);
  } else {
    AppendText(line, value);
  }
}

inline void AppendFields(std::string&) {}

template <class Value, class... Rest>
void AppendFields(std::string& line,
                  std::string_view name,
                  const Value& value,
                  const Rest&... rest) {
  AppendField(line, name, value);
  AppendFields(line, rest...);
}

}  // namespace internal

// Writes one line for a decision. `fields` alternates between field names and
// values. Any thread; never waits for the output.
template <class... Fields>
void LogDecision(LogEvent event, const Fields&... fields) {
  if (!internal::ConsumeLogBudget(event)) {
    return;
  }
  std::string line = internal::BeginLogLine(event);
  internal::AppendFields(line, fields...);
  line += '}';
  internal::WriteLogLine(line);
}

}  // namespace carawayrelay

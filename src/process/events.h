#pragma once

namespace carawayrelay {

// Numbers of the log events. Numbers are never reused; docs/events.md explains
// each, and tools/check_events.py compares the two.
enum class LogEvent : int {
  // 10xx process, 11xx connections, 12xx configuration, 13xx online requests,
  // 14xx rate limits, 15xx batch, 16xx agent and engine, 17xx platform,
  // 18xx telemetry.
  kLinkUp = 1101,
  kLinkDown = 1102,
  kAgentStarted = 1601,
  kAgentStartFailed = 1602,
  kAgentDraining = 1603,
  kAgentDrained = 1604,
  kAgentConfigAdopted = 1605,
  kAgentConfigRejected = 1606,
  kEngineCallFailed = 1607,
  kEngineCommandLost = 1608,
};

}  // namespace carawayrelay

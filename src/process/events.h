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
  kConfigAdopted = 1201,
  kConfigInEffect = 1201,
  kConfigPublished = 1202,
  kConfigUpdateInvalid = 1202,
  kConfigRejected = 1203,
  kEntryStarted = 1301,
  kEntryReadiness = 1302,
  kEntryStopping = 1303,
  kEntryStopped = 1304,
  kEntryFailed = 1305,
  kIntentStoreFailing = 1306,
  kIntentRowMalformed = 1307,
  kIntentOutcomeLost = 1308,
  kLimitLeaseHeld = 1401,
  kLimitLeaseLost = 1402,
  kLimitsStoreDown = 1403,
  kLimitRowMalformed = 1404,
  kBatchSessionStarted = 1501,
  kBatchSessionLost = 1502,
  kBatchStoreFailing = 1503,
  kBatchStopped = 1504,
  kAgentStarted = 1601,
  kAgentStartFailed = 1602,
  kAgentDraining = 1603,
  kAgentDrained = 1604,
  kAgentConfigAdopted = 1605,
  kAgentConfigRejected = 1606,
  kEngineCallFailed = 1607,
  kEngineCommandLost = 1608,
  kPlatformAway = 1701,
  kPlatformBack = 1702,
  kVmListUnreadable = 1703,
  kTraceExportFailed = 1801,
};

}  // namespace carawayrelay

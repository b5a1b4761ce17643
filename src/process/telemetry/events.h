#pragma once

namespace carawayrelay {

// Numbers of the log events. A number is never reused. docs/events.md documents
// each event, and tools/check_events.py checks that the two lists agree.
enum class LogEvent : int {
  // 10xx process, 11xx connections, 12xx configuration, 13xx online requests,
  // 14xx rate limits, 15xx batch, 16xx agent and backend server, 17xx store
  // and VM list, 18xx telemetry.
  // Frontends and workers only: 190x process, 191x configuration and store,
  // 192x backend servers, 193x online requests, 194x batch jobs, 195x batch
  // items.
  kLinkUp = 1101,
  kLinkDown = 1102,
  kConfigAdopted = 1201,
  kConfigPublished = 1202,
  kConfigRejected = 1203,
  kConfigInEffect = 1204,
  kConfigUpdateInvalid = 1205,
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
  kBackendCallFailed = 1607,
  kBackendCommandLost = 1608,
  kStoreUnavailable = 1701,
  kStoreAvailable = 1702,
  kVmListUnreadable = 1703,
  kTraceExportFailed = 1801,
  kServingStarted = 1901,
  kServingStopping = 1902,
  kServingStopped = 1903,
  kServingReloaded = 1904,
  kServingFailed = 1905,
  kServingReadiness = 1906,
  kEventFailed = 1907,
  kServingConfigAdopted = 1911,
  kServingConfigUnreadable = 1912,
  kZonesOutChanged = 1913,
  kStoreLost = 1914,
  kStoreRegained = 1915,
  kRateReportUnreadable = 1917,
  kRateHolderSilent = 1918,
  kDatagramFailed = 1919,
  kBackendChanged = 1921,
  kBackendRemoved = 1922,
  kBackendRegistrationUnreadable = 1923,
  kBackendAvoided = 1924,
  kBackendReplaced = 1925,
  kCrashSuspected = 1926,
  kPromptQuarantined = 1927,
  kPromptReleased = 1928,
  kCrashReportUnreadable = 1929,
  kRequestRefused = 1931,
  kAttemptDeclined = 1932,
  kAttemptFailed = 1933,
  kRequestEnded = 1934,
  kJobSubmitted = 1941,
  kJobRefused = 1942,
  kJobStoreRetry = 1943,
  kJobEnded = 1944,
  kJobReadFailed = 1945,
  kJobRowUnreadable = 1946,
  kItemClaimed = 1951,
  kItemRunFailed = 1952,
  kItemFinished = 1953,
  kItemReturned = 1954,
  kItemDropped = 1955,
};

// The name of the event in the structured log, such as "request_ended", or
// "event" for events that are written to the text log only.
const char* EventName(LogEvent event);

}  // namespace carawayrelay

#include "process/telemetry/events.h"

namespace carawayrelay {

const char* EventName(LogEvent event) {
  switch (event) {
    case LogEvent::kServingStarted:
      return "serving_started";
    case LogEvent::kServingStopping:
      return "serving_stopping";
    case LogEvent::kServingStopped:
      return "serving_stopped";
    case LogEvent::kServingReloaded:
      return "serving_reloaded";
    case LogEvent::kServingFailed:
      return "serving_failed";
    case LogEvent::kServingReadiness:
      return "serving_readiness";
    case LogEvent::kInputLimited:
      return "input_limited";
    case LogEvent::kServingConfigAdopted:
      return "serving_config_adopted";
    case LogEvent::kServingConfigUnreadable:
      return "serving_config_unreadable";
    case LogEvent::kZonesOutChanged:
      return "zones_out_changed";
    case LogEvent::kStoreLost:
      return "store_lost";
    case LogEvent::kStoreRegained:
      return "store_regained";
    case LogEvent::kEventFailed:
      return "event_failed";
    case LogEvent::kRateReportUnreadable:
      return "rate_report_unreadable";
    case LogEvent::kRateHolderSilent:
      return "rate_holder_silent";
    case LogEvent::kRateMemberCounted:
      return "rate_member_counted";
    case LogEvent::kRateShardsHeld:
      return "rate_shards_held";
    case LogEvent::kDatagramFailed:
      return "datagram_failed";
    case LogEvent::kBackendChanged:
      return "runner_changed";
    case LogEvent::kBackendRemoved:
      return "runner_gone";
    case LogEvent::kBackendRegistrationUnreadable:
      return "runner_entry_unreadable";
    case LogEvent::kBackendAvoided:
      return "runner_avoided";
    case LogEvent::kBackendReplaced:
      return "runner_replaced";
    case LogEvent::kCrashSuspected:
      return "crash_suspected";
    case LogEvent::kPromptQuarantined:
      return "prompt_quarantined";
    case LogEvent::kPromptReleased:
      return "prompt_released";
    case LogEvent::kCrashReportUnreadable:
      return "crash_report_unreadable";
    case LogEvent::kBackendLeaving:
      return "runner_leaving";
    case LogEvent::kRequestRefused:
      return "request_refused";
    case LogEvent::kAttemptDeclined:
      return "attempt_declined";
    case LogEvent::kAttemptFailed:
      return "attempt_failed";
    case LogEvent::kRequestEnded:
      return "request_ended";
    case LogEvent::kJobSubmitted:
      return "job_submitted";
    case LogEvent::kJobRefused:
      return "job_refused";
    case LogEvent::kJobStoreRetry:
      return "job_store_retry";
    case LogEvent::kJobEnded:
      return "job_ended";
    case LogEvent::kJobReadFailed:
      return "job_read_failed";
    case LogEvent::kJobRowUnreadable:
      return "job_row_unreadable";
    case LogEvent::kJobWriteRejected:
      return "job_write_rejected";
    case LogEvent::kItemClaimed:
      return "item_claimed";
    case LogEvent::kItemRunFailed:
      return "item_run_failed";
    case LogEvent::kItemFinished:
      return "item_finished";
    case LogEvent::kItemReturned:
      return "item_returned";
    case LogEvent::kItemDropped:
      return "item_dropped";
    default:
      return "event";
  }
}

}  // namespace carawayrelay

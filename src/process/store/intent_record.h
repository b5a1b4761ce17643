#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "carawayrelay/request.h"
#include "process/dispatch/dispatch_event.h"

namespace carawayrelay {

enum class IntentState {
  kPending,   // the request may run or may have run
  kDone,      // the request ran
  kReleased,  // the request did not run
};

// Row value of a request that must run at most once.
struct IntentRecord {
  IntentState state = IntentState::kPending;
  std::string workspace;
  std::string key;
  std::string content_hash;
  // Random, one for each RecordIntent. It makes values differ between writers
  // and tells a writer whether the row is its own.
  std::string nonce;
  // Set when done, unless the answer cannot be stored.
  std::optional<StoredAnswer> response;
};

// Larger answers are not stored; a resend gets `unknown`.
inline constexpr size_t kMaxStoredResponseBytes = size_t{1} << 20;

IntentRecord NewIntent(const RecordIntent& request, const std::string& nonce);
// Both need a pending record.
IntentRecord CompletedIntent(const IntentRecord& record,
                             std::optional<StoredAnswer> response);
IntentRecord ReleasedIntent(const IntentRecord& record);

// Whether a new request may replace the row, because the earlier one did not
// run.
bool CanTakeOver(const IntentRecord& record);
// What a resend learns from a row that it cannot take over.
IntentExists RespondToResend(const IntentRecord& record,
                             const RecordIntent& resend);
// Whether the answer is small enough and valid UTF-8, as JSON needs.
bool IsStorable(const StoredAnswer& response);

std::string IntentRowKey(const std::string& workspace, const std::string& key);

std::string ToJson(const IntentRecord& record);
// Fails with kInternal when the row is damaged.
Result<IntentRecord> ParseIntentRecord(const std::string& text);

}  // namespace carawayrelay

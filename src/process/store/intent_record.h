#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "carawayrelay/request.h"
#include "process/dispatch/dispatch_event.h"

namespace carawayrelay {

enum class IntentState {
  kPending,   // the request may have run or may still run
  kDone,      // the request ran
  kReleased,  // the request did not run
};

// Record of a request that must run at most once; stored as the value of a row.
struct IntentRecord {
  IntentState state = IntentState::kPending;
  std::string workspace;
  std::string key;
  std::string content_hash;
  // Random, one for each RecordIntent. It makes the values of different writers
  // differ and shows a writer whether the row is its own.
  std::string nonce;
  // Set in state kDone, unless the response cannot be stored.
  std::optional<StoredResponse> response;
};

// Larger responses are not stored; a resend of such a request gets `unknown`.
inline constexpr size_t kMaxStoredResponseBytes = size_t{1} << 20;

IntentRecord NewIntent(const RecordIntent& request, const std::string& nonce);
// CompletedIntent and ReleasedIntent need a pending record.
IntentRecord CompletedIntent(const IntentRecord& record,
                             std::optional<StoredResponse> response);
IntentRecord ReleasedIntent(const IntentRecord& record);

// Whether a new request may replace the row, because the earlier request did
// not run.
bool CanTakeOver(const IntentRecord& record);
// Returns the result for a resend that cannot take over the row.
IntentExists RespondToResend(const IntentRecord& record,
                             const RecordIntent& resend);
// Whether the response is small enough and valid UTF-8, which JSON requires.
bool IsStorable(const StoredResponse& response);

std::string IntentRowKey(const std::string& workspace, const std::string& key);

std::string ToJson(const IntentRecord& record);
// Fails with kInternal when the row is malformed.
Result<IntentRecord> ParseIntentRecord(const std::string& text);

}  // namespace carawayrelay

#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "request/error.h"
#include "request/ids.h"

namespace carawayrelay {

enum class ItemState {
  kWaiting = 0,
  kClaimed = 1,     // leased to a worker until `lease_end`
  kComplete = 2,    // its result has a position in the list of results
  kDeadLetter = 3,  // failed permanently; listed without a text
};

struct JobItemState {
  ItemState state = ItemState::kWaiting;
  std::int64_t tokens = 0;  // prompt tokens plus the maximum output tokens
  std::string owner;        // node of the worker that holds the lease
  // Expiry of the lease, as a time of the store's clock.
  std::chrono::milliseconds lease_end{0};
  // Number of runs that ended with a failure reported by a backend server.
  int failures = 0;
  // True when the store holds the text of an unfinished run (PartialRun).
  bool has_partial = false;

  bool IsListed() const {
    return state == ItemState::kComplete || state == ItemState::kDeadLetter;
  }
};

// The mutable state of a batch job. It is one row of the store and is only
// written with a compare-and-set on the version of the row.
struct BulkJob {
  std::string id;
  std::string workspace;
  std::string route;
  // Version of the configuration under which the job was accepted.
  ConfigVersion config_version = kNoConfig;
  // Time at which the job was accepted, by the store's clock.
  std::chrono::milliseconds accepted{0};
  bool is_ended = false;  // true once its client has ended the job
  // Number of results listed so far, which is the position of the next one.
  size_t listed = 0;
  std::vector<JobItemState> items;

  bool IsOpen() const { return !is_ended && listed < items.size(); }
  // Returns the sum of the tokens of the items that are not listed yet.
  std::int64_t PendingTokens() const;
};

std::string EncodeBulkJob(const BulkJob& job);
// Fails with kInvalid when `text` is not an encoded job state.
Result<BulkJob> DecodeBulkJob(const std::string& id, const std::string& text);

// Result of one item. It is a row of the store that is written only once.
struct ItemResult {
  std::string item;
  bool is_complete = false;  // false when the item failed permanently
  std::string text;
  // Name of the object with the text when the text is too long for a row.
  std::string object;
};

std::string EncodeItemResult(const ItemResult& result);
Result<ItemResult> DecodeItemResult(const std::string& text);

// Text of an unfinished run, from which a worker resumes the run later.
struct PartialRun {
  std::uint64_t last_event = 0;
  std::string text;
};

std::string EncodePartialRun(const PartialRun& partial);
Result<PartialRun> DecodePartialRun(const std::string& text);

}  // namespace carawayrelay

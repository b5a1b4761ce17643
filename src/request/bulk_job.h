#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "request/error.h"

namespace carawayrelay {

enum class ItemState {
  kWaiting = 0,
  kClaimed = 1,     // a worker holds it until its lease ends
  kComplete = 2,    // its result is listed
  kDeadLetter = 3,  // given up; listed without a text
};

struct JobItemState {
  ItemState state = ItemState::kWaiting;
  std::int64_t tokens = 0;  // prompt and most output, summed
  std::string owner;        // node of the worker that holds it
  // End of the lease on the store's clock.
  std::chrono::milliseconds lease_end{0};
  // Runs that the backend servers answered with a failure.
  int failures = 0;
  // Whether the text of an unfinished run is kept in the store.
  bool has_partial = false;

  bool IsListed() const {
    return state == ItemState::kComplete || state == ItemState::kDeadLetter;
  }
};

// The part of a batch job that changes: one row of the store, written under
// the condition that nobody else has changed it.
struct BulkJob {
  std::string id;
  std::string workspace;
  std::string route;
  // When the job was accepted, on the store's clock.
  std::chrono::milliseconds accepted{0};
  bool is_ended = false;  // by its client
  // Results listed so far; the next one gets this position.
  size_t listed = 0;
  std::vector<JobItemState> items;

  bool IsOpen() const { return !is_ended && listed < items.size(); }
  // Tokens of the items that are not listed.
  std::int64_t PendingTokens() const;
};

std::string EncodeBulkJob(const BulkJob& job);
// Fails with kInvalid for text that is not an encoded job state.
Result<BulkJob> DecodeBulkJob(const std::string& id, const std::string& text);

// Result of one item, a row of the store that is written once.
struct ItemResult {
  std::string item;
  bool is_complete = false;  // otherwise given up
  std::string text;
  // Name of the object that holds the text when it is too long for a row.
  std::string object;
};

std::string EncodeItemResult(const ItemResult& result);
Result<ItemResult> DecodeItemResult(const std::string& text);

// Text of an unfinished run, for the worker that goes on with it.
struct PartialRun {
  std::uint64_t last_event = 0;
  std::string text;
};

std::string EncodePartialRun(const PartialRun& partial);
Result<PartialRun> DecodePartialRun(const std::string& text);

}  // namespace carawayrelay

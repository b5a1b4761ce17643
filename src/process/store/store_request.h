#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace carawayrelay {

struct RowKey {
  std::string table;
  std::string part;  // a transaction is limited to one part of a table
  std::string key;

  friend bool operator==(const RowKey&, const RowKey&) = default;
  friend auto operator<=>(const RowKey&, const RowKey&) = default;
};

struct StoredRow {
  RowKey key;
  std::string value;
  std::uint64_t version = 0;  // 0: the row does not exist
  bool is_removed = false;
};

// Applies all writes and removals, or none if a row does not have the expected
// version. All rows must belong to the same part.
struct RowsTransaction {
  struct Expected {
    RowKey key;
    std::uint64_t version = 0;  // 0: the row must not exist
  };
  struct Write {
    RowKey key;
    std::string value;
  };
  std::vector<Expected> expected;
  std::vector<Write> writes;
  std::vector<RowKey> removals;

  // Limits of the store on one transaction. It refuses a larger one each time.
  static constexpr size_t kMaxEntries = 100;
  // Bytes of values and names before their encoding, which enlarges values by a
  // third: the store takes 1 MB.
  static constexpr size_t kMaxBytes = 700'000;

  size_t CountEntries() const {
    return expected.size() + writes.size() + removals.size();
  }
  // Returns the bytes of values and names before their encoding.
  size_t CountBytes() const;
};

// Reads the rows of one part with keys in [from, to), in ascending order. There
// is no upper bound if `to` is empty.
struct RowsRead {
  std::string table;
  std::string part;
  std::string from;
  std::string to;
  size_t max_rows = 0;  // 0: as many as the store returns at most
  // Time after which the call counts as lost; 0 selects the default.
  std::chrono::milliseconds timeout{0};
};

// Returns the rows of a table that changed after version `after`. If there are
// none, the store waits for a change.
struct RowsWatch {
  std::string table;
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
  // Time beyond `wait` after which the call counts as lost.
  std::chrono::milliseconds timeout{500};
};

struct ObjectWrite {
  std::string name;
  std::string data;
  // Time after which the call counts as lost; 0 selects the default.
  std::chrono::milliseconds timeout{0};
};

struct ObjectRead {
  std::string name;
  // Time after which the call counts as lost; 0 selects the default.
  std::chrono::milliseconds timeout{0};
};

using StoreRequest =
    std::variant<RowsTransaction, RowsRead, RowsWatch, ObjectWrite, ObjectRead>;

enum class StoreStatus {
  kDone,
  kConditionFailed,  // `rows` holds the current rows
  kHistoryLost,  // the changes are no longer available; read the whole table
  kNotFound,
  kRefused,   // nothing was done; a retry may succeed
  kRejected,  // nothing was done; the same request is never accepted
  kUnknown,   // no response: done, not done, or done later
};

// Stable lower-case name for logs.
inline const char* ToString(StoreStatus status) {
  switch (status) {
    case StoreStatus::kDone:
      return "done";
    case StoreStatus::kConditionFailed:
      return "condition_failed";
    case StoreStatus::kHistoryLost:
      return "history_lost";
    case StoreStatus::kNotFound:
      return "not_found";
    case StoreStatus::kRefused:
      return "refused";
    case StoreStatus::kRejected:
      return "rejected";
    case StoreStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

struct StoreResponse {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoredRow> rows;
  bool has_more = false;      // the range has rows that were not returned
  std::uint64_t version = 0;  // newest version of the store
  // Time of the steady clock of the store; 0 if the response has none.
  std::chrono::milliseconds store_time{0};
  std::string data;  // content of an object
  std::string reason;
};

using StoreCallback = std::function<void(StoreResponse)>;
// Sends a request. The callback is called later, on the same thread.
using StoreSender = std::function<void(StoreRequest, StoreCallback)>;

}  // namespace carawayrelay

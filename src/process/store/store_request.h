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
  std::string part;
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

// Applies all of its writes, or none when a row has another version than
// expected. All rows are of one part.
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
};

// Rows of one part with keys in [from, to), in the order of keys.
struct RowsRead {
  std::string table;
  std::string part;
  std::string from;
  std::string to;
  size_t max_rows = 0;  // 0 is the most that the store returns
  // Until the call counts as lost; 0 is the usual limit.
  std::chrono::milliseconds timeout{0};
};

// Rows of a table that changed after a version; waits for one.
struct RowsWatch {
  std::string table;
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
  // Beyond the wait, until the call counts as lost.
  std::chrono::milliseconds timeout{500};
};

struct ObjectWrite {
  std::string name;
  std::string data;
};

struct ObjectRead {
  std::string name;
};

using StoreRequest =
    std::variant<RowsTransaction, RowsRead, RowsWatch, ObjectWrite, ObjectRead>;

enum class StoreStatus {
  kDone,
  kConditionFailed,  // `rows` holds the rows as they are
  kHistoryLost,      // the changes are no longer known; read the table again
  kNotFound,
  kRefused,  // nothing was done; a later try may succeed
  kUnknown,  // no answer: done, not done, or done later
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
    case StoreStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

struct StoreResponse {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoredRow> rows;
  bool has_more = false;
  std::uint64_t version = 0;  // newest version of the store
  // Steady clock of the store; 0 when the reply has none.
  std::chrono::milliseconds store_time{0};
  std::string data;  // of an object
  std::string reason;
};

using StoreCallback = std::function<void(StoreResponse)>;
// Sends a request; `done` runs on the same thread, later.
using StoreSender = std::function<void(StoreRequest, StoreCallback)>;

}  // namespace carawayrelay

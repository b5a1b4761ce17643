#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace carawayrelay {

// In-memory stand-in for the platform's store: versioned rows, conditional
// transactions, a feed of changes, and objects. It implements the protocol of
// the store without sockets, and refuses what the store refuses for its size.
// The limits of calls per second are not kept. Not thread-safe.
class RowStore {
 public:
  // Conditions, writes and removals of one transaction.
  static constexpr size_t kMaxTransactionEntries = 100;
  static constexpr size_t kMaxTransactionBytes = 1'000'000;
  // Size of a table name, a part or a key.
  static constexpr size_t kMaxNameBytes = 200;
  static constexpr size_t kMaxTables = 100;
  // Size of an encoded value.
  static constexpr size_t kMaxValueBytes = 65536;
  static constexpr size_t kMaxObjectBytes = size_t{8} << 20;
  static constexpr size_t kMaxBytesOfObjects = 400'000'000;
  // Limits of the rows in one response to a read.
  static constexpr size_t kMaxReadRows = 500;
  static constexpr size_t kMaxReadBytes = 1'000'000;

  struct Response {
    int status = 0;
    std::string body;
  };
  // A row that a transaction wrote or removed.
  struct Change {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool is_removed = false;
  };
  // Time since an arbitrary start, reported to clients as the store's time.
  using Clock = std::function<std::chrono::milliseconds()>;

  RowStore() : RowStore(&SteadyTime) {}
  explicit RowStore(Clock clock) : clock_(std::move(clock)) {}

  // Executes one request. A request for changes never waits: its response has
  // no rows if there are no changes. Use HasChanges() to decide whether to
  // wait.
  Response Handle(const std::string& method,
                  const std::string& target,
                  const std::string& body);
  // Whether a request for changes would get rows, or status 410, now. True for
  // all other requests.
  bool HasChanges(const std::string& target) const;
  // Returns the longest time that a request for changes may wait, or zero.
  static std::chrono::milliseconds MaxWaitOf(const std::string& target);

  // Writes a row without a condition, on behalf of an operator or a backend
  // server.
  void Put(const std::string& table,
           const std::string& part,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table,
              const std::string& part,
              const std::string& key);
  void PutObject(const std::string& name, const std::string& data) {
    objects_[name] = data;
  }
  // Number of transactions that were refused for what they hold.
  int refused_transactions() const { return refused_transactions_; }
  // Returns the keys of the rows in a part of a table, in ascending order.
  std::vector<std::string> Keys(const std::string& table,
                                const std::string& part) const;
  // Returns the changes of the latest transaction, and nothing on the next
  // call.
  std::vector<Change> TakeChanges();
  // Returns the value of a row, or an empty string if there is no such row.
  std::string Get(const std::string& table,
                  const std::string& part,
                  const std::string& key) const;
  // Discards the changes up to the current version: requests for changes after
  // an older version get status 410 from now on.
  void ForgetHistory() { oldest_retained_ = version_; }
  std::uint64_t version() const { return version_; }
  size_t object_count() const { return objects_.size(); }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
    bool is_removed = false;
  };

  static std::chrono::milliseconds SteadyTime() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
  }

  Response Transact(const std::string& body);
  Response PutNewObject(const std::string& name, const std::string& data);
  // Returns the status with which the store refuses the transaction, or 0.
  int StatusForSize(const std::string& body) const;
  Response Read(const std::string& target) const;
  Response Changes(const std::string& target) const;
  // Returns 0 if there is no such row.
  std::uint64_t VersionOf(const Key& key) const;

  Clock clock_;
  // Keys that the latest transaction wrote or removed, until TakeChanges().
  std::vector<Key> last_transaction_keys_;
  // Includes removed rows, which the feed of changes reports.
  std::map<Key, Row> rows_;
  std::map<std::string, std::string> objects_;
  int refused_transactions_ = 0;
  std::uint64_t version_ = 0;
  // Changes up to this version are discarded.
  std::uint64_t oldest_retained_ = 0;
};

}  // namespace carawayrelay

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

// Stand-in for the platform's store: rows with versions, transactions under
// conditions, changes and objects, in memory. It speaks the store's protocol
// without sockets; one thread uses it at a time.
class RowStore {
 public:
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
  // The store's clock.
  using Clock = std::function<std::chrono::milliseconds()>;

  RowStore() : RowStore(&SteadyTime) {}
  explicit RowStore(Clock clock) : clock_(std::move(clock)) {}

  // Serves one call. A call for changes is answered at once, without rows when
  // there are none; HasChanges() tells whether to wait.
  Response Handle(const std::string& method,
                  const std::string& target,
                  const std::string& body);
  // Whether a call for changes would be answered with rows now. True for all
  // other calls.
  bool HasChanges(const std::string& target) const;
  // How long a call for changes may be held.
  static std::chrono::milliseconds MaxWaitOf(const std::string& target);

  // Writes a row, as an operator or a backend server does.
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
  // Keys of the rows of a table and part, in order.
  std::vector<std::string> Keys(const std::string& table,
                                const std::string& part) const;
  // What the newest transaction changed, once.
  std::vector<Change> TakeChanges();
  // The value of a row, or an empty string.
  std::string Get(const std::string& table,
                  const std::string& part,
                  const std::string& key) const;
  // Answers calls for changes after older versions with 410 from now on.
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
  Response Read(const std::string& target) const;
  Response Changes(const std::string& target) const;
  std::uint64_t VersionOf(const Key& key) const;

  Clock clock_;
  std::vector<Key> last_transaction_keys_;
  std::map<Key, Row> rows_;  // removed rows stay, for the changes
  std::map<std::string, std::string> objects_;
  std::uint64_t version_ = 0;
  std::uint64_t oldest_retained_ = 0;
};

}  // namespace carawayrelay

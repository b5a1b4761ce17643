#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "carawayrelay/request.h"

namespace carawayrelay {

struct Row {
  std::string value;
  std::string etag;
};

struct KeyedRow {
  std::string key;
  Row row;
};

// A VM in the platform's list of VMs. The list is updated with a delay.
struct VmInfo {
  std::string node;
  std::string role;  // "entry" or "agent"
  std::string zone;
  std::string address;  // "IP:port" of the link listener
  bool leaving = false;

  friend bool operator==(const VmInfo&, const VmInfo&) = default;
};

// Blocking client of the store. Each thread that uses the store in this way
// owns one. It uses the same protocol and codec as StoreClient. The ETag of a
// row is the version that the store gave it; the list of VMs is a table.
//
// Errors: kNotFound, kConflict (the precondition failed), kUnavailable (nothing
// was written), kUnknown (a write may or may not have taken effect). When the
// response to a write is lost, the client reads the row back and compares the
// value, so different writers must write different values. It returns kUnknown
// only when that read fails as well, or when the row still has the old value
// after a repeat of the write, because a write that is still in transit may
// take effect later.
class BlockingStoreClient {
 public:
  struct Options {
    std::string base_url;  // "http://IP:port"
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds request_timeout{2000};
  };

  static Result<std::unique_ptr<BlockingStoreClient>> Make(Options options);
  ~BlockingStoreClient();

  Result<Row> ReadRow(const std::string& table, const std::string& key);
  // Returns rows whose key starts with `prefix` and is greater than `after`, in
  // ascending order of the keys.
  Result<std::vector<KeyedRow>> ListRows(const std::string& table,
                                         const std::string& prefix,
                                         const std::string& after,
                                         size_t limit);
  // CreateRow and UpdateRow return the new ETag.
  Result<std::string> CreateRow(const std::string& table,
                                const std::string& key,
                                const std::string& value);
  Result<std::string> UpdateRow(const std::string& table,
                                const std::string& key,
                                const std::string& value,
                                const std::string& etag);
  Result<void> DeleteRow(const std::string& table,
                         const std::string& key,
                         const std::string& etag);

  // Objects are immutable. Writing the same data again succeeds; writing other
  // data fails with kConflict.
  Result<void> WriteObject(const std::string& name, const std::string& data);
  Result<std::string> ReadObject(const std::string& name);

  Result<std::vector<VmInfo>> ListVms();

 private:
  class Impl;
  explicit BlockingStoreClient(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace carawayrelay

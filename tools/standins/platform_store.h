#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace carawayrelay::tools {

struct NoPrecondition {};
struct MustBeAbsent {};
struct MustMatch {
  std::string etag;
};
using Precondition = std::variant<NoPrecondition, MustBeAbsent, MustMatch>;

struct StoredRow {
  std::string value;
  std::string etag;
};

enum class ObjectWrite { kWritten, kSameData, kOtherData };

// Contents of the table service and object store of the platform stand-in.
class PlatformStore {
 public:
  std::optional<StoredRow> ReadRow(const std::string& table,
                                   const std::string& key) const;
  // Rows whose key starts with `prefix` and is greater than `after`, in the
  // order of keys, at most `limit`.
  std::vector<std::pair<std::string, StoredRow>> ListRows(
      const std::string& table,
      const std::string& prefix,
      const std::string& after,
      size_t limit) const;
  // Returns the new ETag, or nothing when the precondition does not hold.
  std::optional<std::string> WriteRow(const std::string& table,
                                      const std::string& key,
                                      std::string value,
                                      const Precondition& precondition);
  // Returns false when the precondition does not hold or no such row exists.
  bool DeleteRow(const std::string& table,
                 const std::string& key,
                 const Precondition& precondition);

  // An object is written once; writing the same data again changes nothing.
  ObjectWrite WriteObject(const std::string& name, std::string data);
  // Returns nullptr when no such object exists.
  const std::string* ReadObject(const std::string& name) const;

 private:
  using Table = std::map<std::string, StoredRow>;

  static bool Holds(const Precondition& precondition,
                    const std::optional<StoredRow>& row);

  std::map<std::string, Table> tables_;
  std::map<std::string, std::string> objects_;
  std::uint64_t last_etag_ = 0;
};

}  // namespace carawayrelay::tools

#include "standins/platform_store.h"

#include "carawayrelay/request.h"

namespace carawayrelay::tools {

bool PlatformStore::Holds(const Precondition& precondition,
                          const std::optional<StoredRow>& row) {
  return std::visit(Overloaded{
                        [](const NoPrecondition&) { return true; },
                        [&](const MustBeAbsent&) { return !row.has_value(); },
                        [&](const MustMatch& match) {
                          return row.has_value() && row->etag == match.etag;
                        },
                    },
                    precondition);
}

std::optional<StoredRow> PlatformStore::ReadRow(const std::string& table,
                                                const std::string& key) const {
  const auto rows = tables_.find(table);
  if (rows == tables_.end()) {
    return std::nullopt;
  }
  const auto row = rows->second.find(key);
  if (row == rows->second.end()) {
    return std::nullopt;
  }
  return row->second;
}

std::vector<std::pair<std::string, StoredRow>> PlatformStore::ListRows(
    const std::string& table,
    const std::string& prefix,
    const std::string& after,
    size_t limit) const {
  std::vector<std::pair<std::string, StoredRow>> listed;
  const auto rows = tables_.find(table);
  if (rows == tables_.end()) {
    return listed;
  }
  auto row = after < prefix ? rows->second.lower_bound(prefix)
                            : rows->second.upper_bound(after);
  for (; row != rows->second.end() && row->first.starts_with(prefix) &&
         listed.size() < limit;
       ++row) {
    listed.emplace_back(*row);
  }
  return listed;
}

std::optional<std::string> PlatformStore::WriteRow(
    const std::string& table,
    const std::string& key,
    std::string value,
    const Precondition& precondition) {
  if (!Holds(precondition, ReadRow(table, key))) {
    return std::nullopt;
  }
  // Never used twice, so that a deleted and created row does not match.
  std::string etag = "\"" + std::to_string(++last_etag_) + "\"";
  tables_[table][key] = {std::move(value), etag};
  return etag;
}

bool PlatformStore::DeleteRow(const std::string& table,
                              const std::string& key,
                              const Precondition& precondition) {
  const std::optional<StoredRow> row = ReadRow(table, key);
  if (!row || !Holds(precondition, row)) {
    return false;
  }
  tables_[table].erase(key);
  return true;
}

ObjectWrite PlatformStore::WriteObject(const std::string& name,
                                       std::string data) {
  const auto found = objects_.find(name);
  if (found != objects_.end()) {
    return found->second == data ? ObjectWrite::kSameData
                                 : ObjectWrite::kOtherData;
  }
  objects_.emplace(name, std::move(data));
  return ObjectWrite::kWritten;
}

const std::string* PlatformStore::ReadObject(const std::string& name) const {
  const auto found = objects_.find(name);
  return found == objects_.end() ? nullptr : &found->second;
}

}  // namespace carawayrelay::tools

#include "standins/row_store.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/base64.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr std::string_view kObjectPut = "/blob-put/";
constexpr std::string_view kObjectGet = "/blob-get/";
constexpr std::string_view kChanges = "/rows-feed";
constexpr std::string_view kRead = "/rows-get";
// Tables that only operators and backend servers may write.
constexpr std::array kForeignTables = {std::string_view("op"),
                                       std::string_view("servers")};
constexpr std::array kEntryLists = {"expectRev", "writes", "remove"};
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;

std::string Decode(std::string_view text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    int value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16)
                .ec == std::errc()) {
      out.push_back(static_cast<char>(value));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

// Returns the decoded value of a query parameter, or nullopt if it is missing.
std::optional<std::string> Parameter(std::string_view target,
                                     std::string_view name) {
  const size_t question = target.find('?');
  std::string_view rest =
      question == std::string_view::npos ? "" : target.substr(question + 1);
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
      return Decode(pair.substr(equals + 1));
    }
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  }
  return std::nullopt;
}

// Returns 0 if the parameter is missing or not a number.
std::uint64_t NumberParameter(std::string_view target, std::string_view name) {
  const std::string text = Parameter(target, name).value_or("0");
  std::uint64_t value = 0;
  (void)std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::tuple<std::string, std::string, std::string> KeyOf(const json& row) {
  return {row.value("table", ""), row.value("part", ""), row.value("key", "")};
}

}  // namespace

RowStore::Response RowStore::Handle(const std::string& method,
                                    const std::string& target,
                                    const std::string& body) {
  const std::string_view path = std::string_view(target).substr(
      0, std::min(target.size(), target.find('?')));
  if (method == "POST" && path == "/rows-tx") {
    return Transact(body);
  }
  if (method == "GET" && path == kRead) {
    return Read(target);
  }
  if (method == "GET" && path == kChanges) {
    return Changes(target);
  }
  if (method == "PUT" && path.starts_with(kObjectPut)) {
    return PutNewObject(Decode(path.substr(kObjectPut.size())), body);
  }
  if (method == "GET" && path.starts_with(kObjectGet)) {
    const auto it = objects_.find(Decode(path.substr(kObjectGet.size())));
    return it == objects_.end() ? Response{404, "{}"}
                                : Response{200, it->second};
  }
  return {404, "{}"};
}

std::uint64_t RowStore::VersionOf(const Key& key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() || it->second.is_removed ? 0 : it->second.version;
}

RowStore::Response RowStore::PutNewObject(const std::string& name,
                                          const std::string& data) {
  size_t bytes = data.size();
  for (const auto& [other, content] : objects_) {
    bytes += content.size();
  }
  if (data.size() > kMaxObjectBytes) {
    return {413, "{}"};
  }
  if (bytes > kMaxBytesOfObjects) {
    return {507, "{}"};
  }
  return objects_.emplace(name, data).second ? Response{200, "{}"}
                                             : Response{412, "{}"};
}

int RowStore::StatusForSize(const std::string& body) const {
  const json root = json::parse(body, nullptr, false);
  if (!root.is_object() || body.size() > kMaxTransactionBytes) {
    return kBadRequest;
  }
  size_t entries = 0;
  std::set<std::string> parts;
  std::set<std::string> tables;
  for (const auto& [key, row] : rows_) {
    tables.insert(std::get<0>(key));
  }
  for (const char* list : kEntryLists) {
    for (const json& entry : root.value(list, json::array())) {
      const auto& [table, part, key] = KeyOf(entry);
      const bool is_write = std::string_view(list) != kEntryLists[0];
      if (is_write && std::ranges::count(kForeignTables, table) > 0) {
        return kForbidden;
      }
      ++entries;
      parts.insert(part);
      tables.insert(table);
      if (std::max({table.size(), part.size(), key.size()}) > kMaxNameBytes ||
          entry.value("value", "").size() > kMaxValueBytes) {
        return kBadRequest;
      }
    }
  }
  const bool has_one_part = parts.size() <= 1 || root.value("across", false);
  return entries > kMaxTransactionEntries || tables.size() > kMaxTables ||
                 !has_one_part
             ? kBadRequest
             : 0;
}

RowStore::Response RowStore::Transact(const std::string& body) {
  if (const int status = StatusForSize(body); status != 0) {
    ++refused_transactions_;
    return {status, "{}"};
  }
  const json root = json::parse(body);
  json current = json::array();
  bool conditions_met = true;
  for (const json& expected : root.value("expectRev", json::array())) {
    const Key key = KeyOf(expected);
    const std::uint64_t version = VersionOf(key);
    conditions_met &= version == expected.value("ver", std::uint64_t{0});
    json row = {{"table", std::get<0>(key)},
                {"part", std::get<1>(key)},
                {"key", std::get<2>(key)},
                {"ver", version}};
    if (version > 0) {
      row["value"] = platform::ToBase64(rows_.at(key).value);
    }
    current.push_back(std::move(row));
  }
  if (!conditions_met) {
    return {412, json{{"rows", std::move(current)},
                      {"ver", version_},
                      {"nowMs", clock_().count()}}
                     .dump()};
  }
  ++version_;
  last_transaction_keys_.clear();
  for (const json& write : root.value("writes", json::array())) {
    rows_[KeyOf(write)] = {
        .value = platform::FromBase64(write.value("value", "")).value_or(""),
        .version = version_};
    last_transaction_keys_.push_back(KeyOf(write));
  }
  for (const json& removal : root.value("remove", json::array())) {
    rows_[KeyOf(removal)] = {.version = version_, .is_removed = true};
    last_transaction_keys_.push_back(KeyOf(removal));
  }
  return {200, json{{"ver", version_}, {"nowMs", clock_().count()}}.dump()};
}

RowStore::Response RowStore::Read(const std::string& target) const {
  const std::string table = Parameter(target, "table").value_or("");
  const std::string part = Parameter(target, "part").value_or("");
  const std::string from = Parameter(target, "from").value_or("");
  const std::optional<std::string> to = Parameter(target, "to");
  const std::uint64_t limit = NumberParameter(target, "limit");
  const size_t max_rows =
      limit == 0 ? kMaxReadRows : std::min<size_t>(limit, kMaxReadRows);
  json rows = json::array();
  size_t bytes = 0;
  bool has_more = false;
  for (const auto& [key, row] : rows_) {
    const auto& [row_table, row_part, row_key] = key;
    if (row.is_removed || row_table != table || row_part != part ||
        row_key < from || (to && row_key >= *to)) {
      continue;
    }
    std::string value = platform::ToBase64(row.value);
    bytes += row_key.size() + value.size();
    if (rows.size() == max_rows || bytes > kMaxReadBytes) {
      has_more = true;
      break;
    }
    rows.push_back({{"table", table},
                    {"part", part},
                    {"key", row_key},
                    {"value", std::move(value)},
                    {"ver", row.version}});
  }
  return {200, json{{"rows", std::move(rows)},
                    {"hasMore", has_more},
                    {"ver", version_},
                    {"nowMs", clock_().count()}}
                   .dump()};
}

bool RowStore::HasChanges(const std::string& target) const {
  if (!target.starts_with(kChanges)) {
    return true;
  }
  const std::string table = Parameter(target, "table").value_or("");
  const std::uint64_t after = NumberParameter(target, "after");
  return after < oldest_retained_ ||
         std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
           return std::get<0>(item.first) == table &&
                  item.second.version > after;
         });
}

std::chrono::milliseconds RowStore::MaxWaitOf(const std::string& target) {
  return std::chrono::milliseconds(NumberParameter(target, "waitMs"));
}

RowStore::Response RowStore::Changes(const std::string& target) const {
  const std::string table = Parameter(target, "table").value_or("");
  const std::uint64_t after = NumberParameter(target, "after");
  if (after < oldest_retained_) {
    return {410, "{}"};
  }
  std::vector<std::pair<std::uint64_t, json>> changed;
  for (const auto& [key, row] : rows_) {
    if (std::get<0>(key) != table || row.version <= after) {
      continue;
    }
    json entry = {{"table", table},
                  {"part", std::get<1>(key)},
                  {"key", std::get<2>(key)},
                  {"ver", row.version}};
    if (row.is_removed) {
      entry["removed"] = true;
    } else {
      entry["value"] = platform::ToBase64(row.value);
    }
    changed.emplace_back(row.version, std::move(entry));
  }
  std::sort(changed.begin(), changed.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  json rows = json::array();
  for (auto& [version, row] : changed) {
    rows.push_back(std::move(row));
  }
  return {200, json{{"rows", std::move(rows)},
                    {"ver", version_},
                    {"nowMs", clock_().count()}}
                   .dump()};
}

void RowStore::Put(const std::string& table,
                   const std::string& part,
                   const std::string& key,
                   const std::string& value) {
  rows_[{table, part, key}] = {.value = value, .version = ++version_};
}

void RowStore::Remove(const std::string& table,
                      const std::string& part,
                      const std::string& key) {
  rows_[{table, part, key}] = {.version = ++version_, .is_removed = true};
}

std::vector<RowStore::Change> RowStore::TakeChanges() {
  std::vector<Change> taken;
  for (const Key& key : std::exchange(last_transaction_keys_, {})) {
    const Row& row = rows_.at(key);
    taken.push_back({.table = std::get<0>(key),
                     .key = std::get<2>(key),
                     .value = row.value,
                     .version = row.version,
                     .is_removed = row.is_removed});
  }
  return taken;
}

std::vector<std::string> RowStore::Keys(const std::string& table,
                                        const std::string& part) const {
  std::vector<std::string> keys;
  for (const auto& [key, row] : rows_) {
    if (!row.is_removed && std::get<0>(key) == table &&
        std::get<1>(key) == part) {
      keys.push_back(std::get<2>(key));
    }
  }
  return keys;
}

std::string RowStore::Get(const std::string& table,
                          const std::string& part,
                          const std::string& key) const {
  const auto it = rows_.find({table, part, key});
  return it == rows_.end() ? std::string() : it->second.value;
}

}  // namespace carawayrelay

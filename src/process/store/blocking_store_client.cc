#include "process/store/blocking_store_client.h"

#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/store_codec.h"
#include "process/store/store_request.h"
#include "process/transport/http_client.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr const char* kVmsTable = "vms";

Error Unavailable(const std::string& what, const std::string& reason) {
  return {ErrorCode::kUnavailable, what + ": " + reason};
}

std::string ToEtag(std::uint64_t version) {
  return std::to_string(version);
}

// Returns nullopt when the text is not a version.
std::optional<std::uint64_t> ToVersion(const std::string& etag) {
  std::uint64_t version = 0;
  const char* end = etag.data() + etag.size();
  const auto parsed = std::from_chars(etag.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
    return std::nullopt;
  }
  return version;
}

// Returns the least string that is greater than all strings that start with
// `prefix`, or an empty string if there is none.
std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xff') {
    prefix.pop_back();
  }
  if (!prefix.empty()) {
    ++prefix.back();
  }
  return prefix;
}

RowsRead SingleRowRead(const RowKey& key) {
  return {.table = key.table,
          .part = key.part,
          .from = key.key,
          .to = key.key + '\0'};
}

}  // namespace

class BlockingStoreClient::Impl {
 public:
  explicit Impl(std::unique_ptr<HttpClient> http) : http_(std::move(http)) {}

  struct SendResult {
    StoreResponse response;
    // libcurl may have sent the request twice.
    bool maybe_repeated = false;
  };

  // The status is kRefused when the request did not reach the store, and
  // kUnknown when no response was received.
  SendResult Send(const StoreRequest& request) {
    const OutboundCall call = platform::EncodeStoreRequest(request);
    HttpCall http{
        .method = call.method, .target = call.target, .body = call.body};
    for (const auto& [name, value] : call.headers) {
      http.headers.push_back(fmt::format("{}: {}", name, value));
    }
    Result<HttpResponse> response = http_->Send(http);
    if (!response) {
      return {
          .response = {.status = response.error().code == ErrorCode::kUnknown
                                     ? StoreStatus::kUnknown
                                     : StoreStatus::kRefused,
                       .reason = response.error().message}};
    }
    return {
        .response = platform::DecodeStoreResponse(
            request, response.value().status, std::move(response.value().body)),
        .maybe_repeated = response.value().maybe_repeated};
  }

  Result<std::vector<StoredRow>> ReadRows(const RowsRead& read) {
    SendResult result = Send(read);
    if (result.response.status != StoreStatus::kDone) {
      return Unavailable(read.table, ToString(result.response.status) +
                                         (" " + result.response.reason));
    }
    return std::move(result.response.rows);
  }

  Result<StoredRow> ReadRow(const RowKey& key) {
    BOOST_OUTCOME_TRY(std::vector<StoredRow> rows,
                      ReadRows(SingleRowRead(key)));
    if (rows.empty()) {
      return Error{ErrorCode::kNotFound, key.table + "/" + key.key};
    }
    return std::move(rows.front());
  }

  // Replaces the row if it has `version`, or creates it if `version` is 0.
  // Returns the new version.
  Result<std::uint64_t> WriteRow(const RowKey& key,
                                 const std::string& value,
                                 std::uint64_t version) {
    return WriteOnce(key, value, version, CanRepeat::kYes);
  }

  Result<void> DeleteRow(const RowKey& key, std::uint64_t version) {
    RowsTransaction transaction;
    transaction.expected.push_back({.key = key, .version = version});
    transaction.removals.push_back(key);
    const SendResult result = Send(transaction);
    switch (result.response.status) {
      case StoreStatus::kDone:
        return Success();
      case StoreStatus::kRefused:
      case StoreStatus::kRejected:
        return Unavailable(key.key, result.response.reason);
      case StoreStatus::kConditionFailed:
        if (!result.maybe_repeated) {
          return Error{IsAbsent(result.response) ? ErrorCode::kNotFound
                                                 : ErrorCode::kConflict,
                       key.key + ": row changed"};
        }
        break;
      default:
        break;
    }
    const Result<StoredRow> row = ReadRow(key);
    if (!row && row.error().code == ErrorCode::kNotFound) {
      return Success();
    }
    if (row && row.value().version != version) {
      return Error{ErrorCode::kConflict, key.key + ": row changed"};
    }
    return Error{ErrorCode::kUnknown, key.key + ": " + result.response.reason};
  }

  Result<void> WriteObject(const std::string& name, const std::string& data) {
    const SendResult result = Send(ObjectWrite{.name = name, .data = data});
    if (result.response.status == StoreStatus::kDone) {
      return Success();
    }
    if (result.response.status == StoreStatus::kRefused ||
        result.response.status == StoreStatus::kRejected) {
      return Unavailable(name, result.response.reason);
    }
    const Result<std::string> stored = ReadObject(name);
    if (stored) {
      return stored.value() == data
                 ? Result<void>(Success())
                 : Error{ErrorCode::kConflict, name + ": has other data"};
    }
    return Error{ErrorCode::kUnknown, name + ": " + result.response.reason};
  }

  Result<std::string> ReadObject(const std::string& name) {
    SendResult result = Send(ObjectRead{.name = name});
    if (result.response.status == StoreStatus::kDone) {
      return std::move(result.response.data);
    }
    if (result.response.status == StoreStatus::kNotFound) {
      return Error{ErrorCode::kNotFound, name};
    }
    return Unavailable(name, result.response.reason);
  }

 private:
  enum class CanRepeat { kNo, kYes };

  static bool IsAbsent(const StoreResponse& response) {
    return !response.rows.empty() && response.rows.front().version == 0;
  }

  Result<std::uint64_t> WriteOnce(const RowKey& key,
                                  const std::string& value,
                                  std::uint64_t version,
                                  CanRepeat can_repeat) {
    RowsTransaction transaction;
    transaction.expected.push_back({.key = key, .version = version});
    transaction.writes.push_back({.key = key, .value = value});
    const SendResult result = Send(transaction);
    switch (result.response.status) {
      case StoreStatus::kDone:
        return result.response.version;
      case StoreStatus::kRefused:
      case StoreStatus::kRejected:
        return Unavailable(key.key, result.response.reason);
      case StoreStatus::kConditionFailed:
        // The conflict may be with an earlier copy of this write.
        return result.maybe_repeated || can_repeat == CanRepeat::kNo
                   ? ReadBack(key, value, version, CanRepeat::kNo)
                   : Error{ErrorCode::kConflict, key.key + ": row changed"};
      default:
        return ReadBack(key, value, version, can_repeat);
    }
  }

  // Finds out whether a write took effect. When the row is unchanged, the first
  // write may still be in transit. Repeating it under the same precondition
  // decides the outcome, as only one of the two can succeed.
  Result<std::uint64_t> ReadBack(const RowKey& key,
                                 const std::string& value,
                                 std::uint64_t version,
                                 CanRepeat can_repeat) {
    const Result<StoredRow> row = ReadRow(key);
    if (row && row.value().value == value) {
      return row.value().version;
    }
    const bool is_missing = !row && row.error().code == ErrorCode::kNotFound;
    if (!row && !is_missing) {
      return Error{ErrorCode::kUnknown, row.error().message};
    }
    const std::uint64_t found = row ? row.value().version : 0;
    if (found != version) {
      return Error{ErrorCode::kConflict, key.key + ": row changed"};
    }
    if (can_repeat == CanRepeat::kYes) {
      return WriteOnce(key, value, version, CanRepeat::kNo);
    }
    return Error{ErrorCode::kUnknown,
                 key.key + ": response to the write was lost"};
  }

  std::unique_ptr<HttpClient> http_;
};

Result<std::unique_ptr<BlockingStoreClient>> BlockingStoreClient::Make(
    Options options) {
  BOOST_OUTCOME_TRY(
      std::unique_ptr<HttpClient> http,
      HttpClient::Make({.base_url = std::move(options.base_url),
                        .connect_timeout = options.connect_timeout,
                        .request_timeout = options.request_timeout}));
  auto impl = std::make_unique<Impl>(std::move(http));
  return std::unique_ptr<BlockingStoreClient>(
      new BlockingStoreClient(std::move(impl)));
}

BlockingStoreClient::BlockingStoreClient(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

BlockingStoreClient::~BlockingStoreClient() = default;

Result<Row> BlockingStoreClient::ReadRow(const std::string& table,
                                         const std::string& key) {
  BOOST_OUTCOME_TRY(StoredRow row,
                    impl_->ReadRow({.table = table, .key = key}));
  return Row{.value = std::move(row.value), .etag = ToEtag(row.version)};
}

Result<std::vector<KeyedRow>> BlockingStoreClient::ListRows(
    const std::string& table,
    const std::string& prefix,
    const std::string& after,
    size_t limit) {
  BOOST_OUTCOME_TRY(
      std::vector<StoredRow> stored,
      impl_->ReadRows({.table = table,
                       .from = after < prefix ? prefix : after + '\0',
                       .to = PrefixEnd(prefix),
                       .max_rows = limit}));
  std::vector<KeyedRow> rows;
  rows.reserve(stored.size());
  for (StoredRow& row : stored) {
    rows.push_back(
        {.key = std::move(row.key.key),
         .row = {.value = std::move(row.value), .etag = ToEtag(row.version)}});
  }
  return rows;
}

Result<std::string> BlockingStoreClient::CreateRow(const std::string& table,
                                                   const std::string& key,
                                                   const std::string& value) {
  BOOST_OUTCOME_TRY(const std::uint64_t version,
                    impl_->WriteRow({.table = table, .key = key}, value, 0));
  return ToEtag(version);
}

Result<std::string> BlockingStoreClient::UpdateRow(const std::string& table,
                                                   const std::string& key,
                                                   const std::string& value,
                                                   const std::string& etag) {
  const std::optional<std::uint64_t> version_before = ToVersion(etag);
  if (!version_before) {
    return Error{ErrorCode::kInvalid, "update of " + key + " without an ETag"};
  }
  BOOST_OUTCOME_TRY(
      const std::uint64_t version,
      impl_->WriteRow({.table = table, .key = key}, value, *version_before));
  return ToEtag(version);
}

Result<void> BlockingStoreClient::DeleteRow(const std::string& table,
                                            const std::string& key,
                                            const std::string& etag) {
  const std::optional<std::uint64_t> version_before = ToVersion(etag);
  if (!version_before) {
    return Error{ErrorCode::kInvalid, "delete of " + key + " without an ETag"};
  }
  return impl_->DeleteRow({.table = table, .key = key}, *version_before);
}

Result<void> BlockingStoreClient::WriteObject(const std::string& name,
                                              const std::string& data) {
  return impl_->WriteObject(name, data);
}

Result<std::string> BlockingStoreClient::ReadObject(const std::string& name) {
  return impl_->ReadObject(name);
}

Result<std::vector<VmInfo>> BlockingStoreClient::ListVms() {
  BOOST_OUTCOME_TRY(const std::vector<StoredRow> rows,
                    impl_->ReadRows({.table = kVmsTable}));
  std::vector<VmInfo> vms;
  try {
    for (const StoredRow& row : rows) {
      const json item = json::parse(row.value);
      vms.push_back({.node = item.at("node").get<std::string>(),
                     .role = item.at("role").get<std::string>(),
                     .zone = item.at("zone").get<std::string>(),
                     .address = item.at("address").get<std::string>(),
                     .leaving = item.value("leaving", false)});
    }
  } catch (const json::exception& e) {
    return Unavailable(kVmsTable, std::string("malformed row: ") + e.what());
  }
  return vms;
}

}  // namespace carawayrelay

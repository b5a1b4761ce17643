#include "process/store/platform_client.h"

#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/store_codec.h"
#include "process/store/store_call.h"
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

// Nothing when the text is no version.
std::optional<std::uint64_t> ToVersion(const std::string& etag) {
  std::uint64_t version = 0;
  const char* end = etag.data() + etag.size();
  const auto parsed = std::from_chars(etag.data(), end, version);
  if (parsed.ec != std::errc() || parsed.ptr != end || version == 0) {
    return std::nullopt;
  }
  return version;
}

// The least text that is greater than all that begin with `prefix`; empty when
// there is none.
std::string AfterPrefix(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xff') {
    prefix.pop_back();
  }
  if (!prefix.empty()) {
    ++prefix.back();
  }
  return prefix;
}

RowsRead ReadOf(const RowKey& key) {
  return {.table = key.table,
          .part = key.part,
          .from = key.key,
          .to = key.key + '\0'};
}

}  // namespace

class PlatformClient::Impl {
 public:
  explicit Impl(std::unique_ptr<HttpClient> http) : http_(std::move(http)) {}

  struct Sent {
    StoreReply reply;
    // libcurl may have sent the call twice.
    bool maybe_repeated = false;
  };

  // A call that did not reach the store is kRefused, one without an answer
  // kUnknown.
  Sent Send(const StoreRequest& request) {
    const OutboundCall call = platform::EncodeStoreRequest(request);
    HttpCall http{
        .method = call.method, .target = call.target, .body = call.body};
    for (const auto& [name, value] : call.headers) {
      http.headers.push_back(fmt::format("{}: {}", name, value));
    }
    Result<HttpResponse> reply = http_->Send(http);
    if (!reply) {
      return {.reply = {.status = reply.error().code == ErrorCode::kUnknown
                                      ? StoreStatus::kUnknown
                                      : StoreStatus::kRefused,
                        .reason = reply.error().message}};
    }
    return {.reply = platform::DecodeStoreReply(request, reply.value().status,
                                                std::move(reply.value().body)),
            .maybe_repeated = reply.value().maybe_repeated};
  }

  Result<std::vector<StoredRow>> ReadRows(const RowsRead& read) {
    Sent sent = Send(read);
    if (sent.reply.status != StoreStatus::kDone) {
      return Unavailable(
          read.table, ToString(sent.reply.status) + (" " + sent.reply.reason));
    }
    return std::move(sent.reply.rows);
  }

  Result<StoredRow> ReadRow(const RowKey& key) {
    BOOST_OUTCOME_TRY(std::vector<StoredRow> rows, ReadRows(ReadOf(key)));
    if (rows.empty()) {
      return Error{ErrorCode::kNotFound, key.table + "/" + key.key};
    }
    return std::move(rows.front());
  }

  // Writes a row that has `version`, or none when that is 0. Returns the new
  // version.
  Result<std::uint64_t> WriteRow(const RowKey& key,
                                 const std::string& value,
                                 std::uint64_t version) {
    return WriteOnce(key, value, version, CanRepeat::kYes);
  }

  Result<void> DeleteRow(const RowKey& key, std::uint64_t version) {
    RowsTransaction transaction;
    transaction.expected.push_back({.key = key, .version = version});
    transaction.removals.push_back(key);
    const Sent sent = Send(transaction);
    switch (sent.reply.status) {
      case StoreStatus::kDone:
        return Success();
      case StoreStatus::kRefused:
        return Unavailable(key.key, sent.reply.reason);
      case StoreStatus::kConditionFailed:
        if (!sent.maybe_repeated) {
          return Error{IsAbsent(sent.reply) ? ErrorCode::kNotFound
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
    return Error{ErrorCode::kUnknown, key.key + ": " + sent.reply.reason};
  }

  Result<void> WriteObject(const std::string& name, const std::string& data) {
    const Sent sent = Send(ObjectWrite{.name = name, .data = data});
    if (sent.reply.status == StoreStatus::kDone) {
      return Success();
    }
    if (sent.reply.status == StoreStatus::kRefused) {
      return Unavailable(name, sent.reply.reason);
    }
    const Result<std::string> stored = ReadObject(name);
    if (stored) {
      return stored.value() == data
                 ? Result<void>(Success())
                 : Error{ErrorCode::kConflict, name + ": has other data"};
    }
    return Error{ErrorCode::kUnknown, name + ": " + sent.reply.reason};
  }

  Result<std::string> ReadObject(const std::string& name) {
    Sent sent = Send(ObjectRead{.name = name});
    if (sent.reply.status == StoreStatus::kDone) {
      return std::move(sent.reply.data);
    }
    if (sent.reply.status == StoreStatus::kNotFound) {
      return Error{ErrorCode::kNotFound, name};
    }
    return Unavailable(name, sent.reply.reason);
  }

 private:
  enum class CanRepeat { kNo, kYes };

  static bool IsAbsent(const StoreReply& reply) {
    return !reply.rows.empty() && reply.rows.front().version == 0;
  }

  Result<std::uint64_t> WriteOnce(const RowKey& key,
                                  const std::string& value,
                                  std::uint64_t version,
                                  CanRepeat can_repeat) {
    RowsTransaction transaction;
    transaction.expected.push_back({.key = key, .version = version});
    transaction.writes.push_back({.key = key, .value = value});
    const Sent sent = Send(transaction);
    switch (sent.reply.status) {
      case StoreStatus::kDone:
        return sent.reply.version;
      case StoreStatus::kRefused:
        return Unavailable(key.key, sent.reply.reason);
      case StoreStatus::kConditionFailed:
        // The conflict may be with the first copy of this same write.
        return sent.maybe_repeated || can_repeat == CanRepeat::kNo
                   ? ReadBack(key, value, version, CanRepeat::kNo)
                   : Error{ErrorCode::kConflict, key.key + ": row changed"};
      default:
        return ReadBack(key, value, version, can_repeat);
    }
  }

  // Finds out whether a write took effect. When the row is as before, the
  // first write may still be on its way; repeating it under the same
  // precondition settles the outcome, as only one of the two can succeed.
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

Result<std::unique_ptr<PlatformClient>> PlatformClient::Make(Options options) {
  BOOST_OUTCOME_TRY(
      std::unique_ptr<HttpClient> http,
      HttpClient::Make({.base_url = std::move(options.base_url),
                        .connect_timeout = options.connect_timeout,
                        .request_timeout = options.request_timeout}));
  auto impl = std::make_unique<Impl>(std::move(http));
  return std::unique_ptr<PlatformClient>(new PlatformClient(std::move(impl)));
}

PlatformClient::PlatformClient(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

PlatformClient::~PlatformClient() = default;

Result<Row> PlatformClient::ReadRow(const std::string& table,
                                    const std::string& key) {
  BOOST_OUTCOME_TRY(StoredRow row,
                    impl_->ReadRow({.table = table, .key = key}));
  return Row{.value = std::move(row.value), .etag = ToEtag(row.version)};
}

Result<std::vector<KeyedRow>> PlatformClient::ListRows(
    const std::string& table,
    const std::string& prefix,
    const std::string& after,
    size_t limit) {
  BOOST_OUTCOME_TRY(
      std::vector<StoredRow> stored,
      impl_->ReadRows({.table = table,
                       .from = after < prefix ? prefix : after + '\0',
                       .to = AfterPrefix(prefix),
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

Result<std::string> PlatformClient::CreateRow(const std::string& table,
                                              const std::string& key,
                                              const std::string& value) {
  BOOST_OUTCOME_TRY(const std::uint64_t version,
                    impl_->WriteRow({.table = table, .key = key}, value, 0));
  return ToEtag(version);
}

Result<std::string> PlatformClient::UpdateRow(const std::string& table,
                                              const std::string& key,
                                              const std::string& value,
                                              const std::string& etag) {
  const std::optional<std::uint64_t> before = ToVersion(etag);
  if (!before) {
    return Error{ErrorCode::kInvalid, "update of " + key + " without an ETag"};
  }
  BOOST_OUTCOME_TRY(
      const std::uint64_t version,
      impl_->WriteRow({.table = table, .key = key}, value, *before));
  return ToEtag(version);
}

Result<void> PlatformClient::DeleteRow(const std::string& table,
                                       const std::string& key,
                                       const std::string& etag) {
  const std::optional<std::uint64_t> before = ToVersion(etag);
  if (!before) {
    return Error{ErrorCode::kInvalid, "delete of " + key + " without an ETag"};
  }
  return impl_->DeleteRow({.table = table, .key = key}, *before);
}

Result<void> PlatformClient::WriteObject(const std::string& name,
                                         const std::string& data) {
  return impl_->WriteObject(name, data);
}

Result<std::string> PlatformClient::ReadObject(const std::string& name) {
  return impl_->ReadObject(name);
}

Result<std::vector<VmInfo>> PlatformClient::ListVms() {
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
    return Unavailable(kVmsTable, std::string("malformed entry: ") + e.what());
  }
  return vms;
}

}  // namespace carawayrelay

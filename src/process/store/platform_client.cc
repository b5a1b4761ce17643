#include "process/store/platform_client.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "process/transport/http_client.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kPreconditionFailed = 412;

bool IsSuccess(int status) {
  return status >= kOk && status < 300;
}

Error ToError(const HttpReply& reply, const std::string& target) {
  const std::string message =
      target + ": platform answered " + std::to_string(reply.status);
  switch (reply.status) {
    case kNotFoundStatus:
      return {ErrorCode::kNotFound, message};
    case kConflictStatus:
    case kPreconditionFailed:
      return {ErrorCode::kConflict, message};
    case 429:
      return {ErrorCode::kUnavailable, message};
    default:
      return {
          reply.status >= 500 ? ErrorCode::kUnavailable : ErrorCode::kInvalid,
          message};
  }
}

Error MalformedReply(const std::string& target) {
  return {ErrorCode::kUnavailable, target + ": malformed platform response"};
}

std::string RowTarget(const std::string& table, const std::string& key) {
  return "/v1/rows/" + PercentEncode(table) + "/" + PercentEncode(key);
}

std::string ObjectTarget(const std::string& name) {
  return "/v1/objects/" + PercentEncode(name);
}

}  // namespace

class PlatformClient::Impl {
 public:
  explicit Impl(std::unique_ptr<HttpClient> http) : http_(std::move(http)) {}

  // A read has no effect, so a lost response counts as unavailable.
  Result<HttpReply> Read(const std::string& target) {
    Result<HttpReply> reply = http_->Send({.method = "GET", .target = target});
    if (!reply) {
      return Error{ErrorCode::kUnavailable, reply.error().message};
    }
    if (!IsSuccess(reply.value().status)) {
      return ToError(reply.value(), target);
    }
    return reply;
  }

  Result<json> ReadJson(const std::string& target) {
    BOOST_OUTCOME_TRY(const HttpReply reply, Read(target));
    json parsed = json::parse(reply.body, nullptr, false);
    if (!parsed.is_object()) {
      return MalformedReply(target);
    }
    return parsed;
  }

  Result<Row> ReadRow(const std::string& target) {
    BOOST_OUTCOME_TRY(HttpReply reply, Read(target));
    std::string etag = reply.Header("etag");
    if (etag.empty()) {
      return MalformedReply(target);
    }
    return Row{.value = std::move(reply.body), .etag = std::move(etag)};
  }

  // Writes a row under a precondition. `etag` is empty for a row that must not
  // exist yet.
  Result<std::string> WriteRow(const std::string& target,
                               const std::string& value,
                               const std::string& etag) {
    const HttpCall call{
        .method = "PUT",
        .target = target,
        .headers = {etag.empty() ? "If-None-Match: *" : "If-Match: " + etag,
                    "Content-Type: application/octet-stream"},
        .body = value};
    const Result<HttpReply> reply = http_->Send(call);
    if (!reply) {
      return reply.error().code == ErrorCode::kUnknown
                 ? ReadBack(call, etag, CanRepeat::kYes)
                 : reply.error();
    }
    return FinishWrite(reply.value(), call, etag);
  }

  Result<void> DeleteRow(const std::string& target, const std::string& etag) {
    const Result<HttpReply> reply =
        http_->Send({.method = "DELETE",
                     .target = target,
                     .headers = {"If-Match: " + etag}});
    if (reply && IsSuccess(reply.value().status)) {
      return Success();
    }
    const Error error = reply ? ToError(reply.value(), target) : reply.error();
    // A repeat of a delete that took effect finds no row.
    const bool lost = reply ? reply.value().maybe_repeated &&
                                  (error.code == ErrorCode::kConflict ||
                                   error.code == ErrorCode::kNotFound)
                            : error.code == ErrorCode::kUnknown;
    if (!lost) {
      return error;
    }
    const Result<Row> row = ReadRow(target);
    if (!row && row.error().code == ErrorCode::kNotFound) {
      return Success();
    }
    if (row && row.value().etag != etag) {
      return Error{ErrorCode::kConflict, target + ": row changed"};
    }
    return Error{ErrorCode::kUnknown, error.message};
  }

  Result<void> WriteObject(const std::string& name, const std::string& data) {
    const std::string target = ObjectTarget(name);
    const HttpCall call{.method = "PUT",
                        .target = target,
                        .headers = {"If-None-Match: *",
                                    "Content-Type: application/octet-stream"},
                        .body = data};
    const Result<HttpReply> reply = http_->Send(call);
    if (reply && IsSuccess(reply.value().status)) {
      return Success();
    }
    const Error error = reply ? ToError(reply.value(), target) : reply.error();
    if (error.code != ErrorCode::kConflict &&
        error.code != ErrorCode::kUnknown) {
      return error;
    }
    const Result<HttpReply> stored = Read(target);
    if (stored) {
      return stored.value().body == data
                 ? Result<void>(Success())
                 : Error{ErrorCode::kConflict, name + ": has other data"};
    }
    return Error{ErrorCode::kUnknown, error.message};
  }

 private:
  enum class CanRepeat { kNo, kYes };

  Result<std::string> FinishWrite(const HttpReply& reply,
                                  const HttpCall& call,
                                  const std::string& etag) {
    if (IsSuccess(reply.status)) {
      std::string new_etag = reply.Header("etag");
      // Without the ETag the row has to be read to get it.
      return new_etag.empty() ? ReadBack(call, etag, CanRepeat::kNo)
                              : Result<std::string>(std::move(new_etag));
    }
    Error error = ToError(reply, call.target);
    if (error.code == ErrorCode::kConflict && reply.maybe_repeated) {
      // The conflict may be with the first copy of this same write.
      return ReadBack(call, etag, CanRepeat::kNo);
    }
    return error;
  }

  // Finds out whether a write took effect. When the row is as before, the
  // first write may still be on its way; repeating it under the same
  // precondition settles the outcome, as only one of the two can succeed.
  Result<std::string> ReadBack(const HttpCall& call,
                               const std::string& etag,
                               CanRepeat can_repeat) {
    const Result<Row> row = ReadRow(call.target);
    if (row && row.value().value == call.body) {
      return row.value().etag;
    }
    const bool unchanged =
        row ? !etag.empty() && row.value().etag == etag
            : row.error().code == ErrorCode::kNotFound && etag.empty();
    if (unchanged && can_repeat == CanRepeat::kYes) {
      const Result<HttpReply> reply = http_->Send(call);
      if (reply && IsSuccess(reply.value().status)) {
        return FinishWrite(reply.value(), call, etag);
      }
      return ReadBack(call, etag, CanRepeat::kNo);
    }
    if (row && !unchanged) {
      return Error{ErrorCode::kConflict, call.target + ": row changed"};
    }
    if (!row && row.error().code == ErrorCode::kNotFound && !etag.empty()) {
      return Error{ErrorCode::kConflict, call.target + ": row was deleted"};
    }
    return Error{ErrorCode::kUnknown,
                 call.target + ": response to the write was lost"};
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
  return impl_->ReadRow(RowTarget(table, key));
}

Result<std::vector<KeyedRow>> PlatformClient::ListRows(
    const std::string& table,
    const std::string& prefix,
    const std::string& after,
    size_t limit) {
  const std::string target =
      "/v1/rows/" + PercentEncode(table) + "?prefix=" + PercentEncode(prefix) +
      "&after=" + PercentEncode(after) + "&limit=" + std::to_string(limit);
  BOOST_OUTCOME_TRY(const json reply, impl_->ReadJson(target));
  std::vector<KeyedRow> rows;
  try {
    for (const json& item : reply.at("rows")) {
      rows.push_back({.key = item.at("key").get<std::string>(),
                      .row = {.value = item.at("value").get<std::string>(),
                              .etag = item.at("etag").get<std::string>()}});
    }
  } catch (const json::exception&) {
    return MalformedReply(target);
  }
  return rows;
}

Result<std::string> PlatformClient::CreateRow(const std::string& table,
                                              const std::string& key,
                                              const std::string& value) {
  return impl_->WriteRow(RowTarget(table, key), value, "");
}

Result<std::string> PlatformClient::UpdateRow(const std::string& table,
                                              const std::string& key,
                                              const std::string& value,
                                              const std::string& etag) {
  if (etag.empty()) {
    return Error{ErrorCode::kInvalid, "update of " + key + " without an ETag"};
  }
  return impl_->WriteRow(RowTarget(table, key), value, etag);
}

Result<void> PlatformClient::DeleteRow(const std::string& table,
                                       const std::string& key,
                                       const std::string& etag) {
  return impl_->DeleteRow(RowTarget(table, key), etag);
}

Result<void> PlatformClient::WriteObject(const std::string& name,
                                         const std::string& data) {
  return impl_->WriteObject(name, data);
}

Result<std::string> PlatformClient::ReadObject(const std::string& name) {
  BOOST_OUTCOME_TRY(HttpReply reply, impl_->Read(ObjectTarget(name)));
  return std::move(reply.body);
}

Result<std::vector<VmInfo>> PlatformClient::ListVms() {
  const std::string target = "/v1/vms";
  BOOST_OUTCOME_TRY(const json reply, impl_->ReadJson(target));
  std::vector<VmInfo> vms;
  try {
    for (const json& item : reply.at("vms")) {
      vms.push_back({.node = item.at("node").get<std::string>(),
                     .role = item.at("role").get<std::string>(),
                     .zone = item.at("zone").get<std::string>(),
                     .address = item.at("address").get<std::string>(),
                     .leaving = item.value("leaving", false)});
    }
  } catch (const json::exception&) {
    return MalformedReply(target);
  }
  return vms;
}

}  // namespace carawayrelay

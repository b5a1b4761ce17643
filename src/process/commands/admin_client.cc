#include "process/commands/admin_client.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "process/batch/api_response.h"

namespace carawayrelay {
namespace {

using nlohmann::json;

// Long, because an entry may read back a lost write several times before it
// responds.
constexpr std::chrono::milliseconds kRequestTimeout{20000};
constexpr int kMaxSends = 3;

HttpClient::Options OptionsFor(const std::string& url) {
  return {.base_url = url, .request_timeout = kRequestTimeout};
}

}  // namespace

Result<std::unique_ptr<AdminClient>> AdminClient::Make(
    const std::vector<std::string>& urls) {
  if (urls.empty()) {
    return Error{ErrorCode::kInvalid,
                 "no admin address; pass --admin http://IP:port or set "
                 "CARAWAYRELAY_ADMIN"};
  }
  std::vector<std::unique_ptr<HttpClient>> entries;
  for (const std::string& url : urls) {
    BOOST_OUTCOME_TRY(auto entry, HttpClient::Make(OptionsFor(url)));
    entries.push_back(std::move(entry));
  }
  return std::unique_ptr<AdminClient>(new AdminClient(std::move(entries)));
}

Result<std::string> AdminClient::Send(const HttpCall& call) {
  Error last{ErrorCode::kUnavailable, "no entry is available"};
  for (const std::unique_ptr<HttpClient>& entry : entries_) {
    const Result<HttpResponse> response = entry->Send(call);
    Result<std::string> body = response ? ParseApiResponse(response.value())
                                        : Result<std::string>(response.error());
    if (!body && body.error().code == ErrorCode::kConflict &&
        response.value().maybe_repeated) {
      // The HTTP client may have sent this write twice, so the conflict may be
      // with its own first copy.
      return Error{ErrorCode::kUnknown, body.error().message};
    }
    if (body || body.error().code != ErrorCode::kUnavailable) {
      return body;
    }
    last = body.error();
  }
  return last;
}

Result<AdminConfig> AdminClient::Read() {
  const Result<std::string> body =
      Send({.method = "GET", .target = "/admin/config"});
  if (!body) {
    return Error{ErrorCode::kUnavailable, body.error().message};
  }
  const json response = json::parse(body.value(), nullptr, false);
  if (!response.is_object() || !response.contains("document") ||
      !response.value("version", json()).is_number_unsigned()) {
    return Error{
        ErrorCode::kInternal,
        "malformed response from the admin API: expected 'document' and "
        "'version'"};
  }
  Findings findings;
  auto document = ParseConfigDocument(response["document"].dump(), findings);
  if (!document) {
    return Error{
        ErrorCode::kInternal,
        "the configuration of the entry fails the checks of this program; "
        "use a program of the same version as the entry:\n" +
            findings.ToText()};
  }
  return AdminConfig{
      .version = ConfigVersion{response["version"].get<std::uint64_t>()},
      .document = *std::move(document)};
}

Result<ConfigVersion> AdminClient::Publish(ConfigVersion based_on,
                                           const ConfigDocument& document) {
  const std::string text = ToJson(document);
  const json body = {{"based_on", ToInt(based_on)},
                     {"document", json::parse(text)}};
  const HttpCall call{.method = "POST",
                      .target = "/admin/config",
                      .headers = {"Content-Type: application/json"},
                      .body = body.dump()};
  const ConfigVersion next{ToInt(based_on) + 1};
  bool outcome_unknown = false;
  Error last;
  for (int attempt = 0; attempt < kMaxSends; ++attempt) {
    const Result<std::string> sent = Send(call);
    if (sent) {
      return next;
    }
    last = sent.error();
    outcome_unknown = outcome_unknown || last.code == ErrorCode::kUnknown;
    if (!outcome_unknown) {
      return last;
    }
    // After an unknown outcome, a conflict may be with an earlier copy of this
    // write, so only the configuration that is read back decides.
    const Result<AdminConfig> current = Read();
    if (!current) {
      break;
    }
    const ConfigVersion version = current.value().version;
    if (version > next) {
      break;
    }
    if (version == next) {
      return ToJson(current.value().document) == text
                 ? Result<ConfigVersion>(next)
                 : Error{ErrorCode::kConflict,
                         "another change was published as version " +
                             std::to_string(ToInt(next))};
    }
  }
  return Error{ErrorCode::kUnknown, last.message};
}

Result<std::string> AdminClient::Status(const std::string& url) {
  BOOST_OUTCOME_TRY(const auto entry, HttpClient::Make(OptionsFor(url)));
  BOOST_OUTCOME_TRY(const HttpResponse response,
                    entry->Send({.method = "GET", .target = "/admin/status"}));
  return ParseApiResponse(response);
}

}  // namespace carawayrelay

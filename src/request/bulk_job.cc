#include "request/bulk_job.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

Error DecodeError(const char* what) {
  return {ErrorCode::kInvalid, std::string("not an encoded ") + what};
}

json EncodeItem(const JobItemState& item) {
  return json::array({static_cast<int>(item.state), item.tokens, item.owner,
                      item.lease_end.count(), item.failures, item.has_partial});
}

Result<JobItemState> DecodeItem(const json& value) {
  if (!value.is_array() || value.size() != 6 || !value[0].is_number_integer() ||
      !value[1].is_number_integer() || !value[2].is_string() ||
      !value[3].is_number_integer() || !value[4].is_number_integer() ||
      !value[5].is_boolean()) {
    return DecodeError("item state");
  }
  const int state = value[0].get<int>();
  if (state < 0 || state > static_cast<int>(ItemState::kDeadLetter)) {
    return DecodeError("item state");
  }
  return JobItemState{.state = static_cast<ItemState>(state),
                      .tokens = value[1].get<std::int64_t>(),
                      .owner = value[2].get<std::string>(),
                      .lease_end = milliseconds(value[3].get<std::int64_t>()),
                      .failures = value[4].get<int>(),
                      .has_partial = value[5].get<bool>()};
}

bool Has(const json& root, const char* name, json::value_t type) {
  const auto it = root.find(name);
  return it != root.end() &&
         (it->type() == type ||
          (type == json::value_t::number_unsigned && it->is_number_integer()));
}

}  // namespace

std::int64_t BulkJob::PendingTokens() const {
  std::int64_t tokens = 0;
  for (const JobItemState& item : items) {
    tokens += item.IsListed() ? 0 : item.tokens;
  }
  return tokens;
}

std::string EncodeBulkJob(const BulkJob& job) {
  json items = json::array();
  for (const JobItemState& item : job.items) {
    items.push_back(EncodeItem(item));
  }
  return json{{"workspace", job.workspace},
              {"route", job.route},
              {"config_version", ToInt(job.config_version)},
              {"accepted_ms", job.accepted.count()},
              {"ended", job.is_ended},
              {"listed", job.listed},
              {"items", std::move(items)}}
      .dump();
}

Result<BulkJob> DecodeBulkJob(const std::string& id, const std::string& text) {
  const json root = json::parse(text, nullptr, false);
  using Type = json::value_t;
  if (!root.is_object() || !Has(root, "workspace", Type::string) ||
      !Has(root, "route", Type::string) ||
      !Has(root, "accepted_ms", Type::number_unsigned) ||
      !Has(root, "ended", Type::boolean) ||
      !Has(root, "listed", Type::number_unsigned) ||
      !Has(root, "items", Type::array)) {
    return DecodeError("job state");
  }
  BulkJob job{.id = id,
              .workspace = root["workspace"].get<std::string>(),
              .route = root["route"].get<std::string>(),
              .accepted = milliseconds(root["accepted_ms"].get<std::int64_t>()),
              .is_ended = root["ended"].get<bool>(),
              .listed = root["listed"].get<size_t>()};
  // Rows of processes of an earlier release have no version.
  if (Has(root, "config_version", Type::number_unsigned)) {
    job.config_version =
        ConfigVersion{root["config_version"].get<std::uint64_t>()};
  }
  for (const json& value : root["items"]) {
    BOOST_OUTCOME_TRY(JobItemState item, DecodeItem(value));
    job.items.push_back(std::move(item));
  }
  return job;
}

std::string EncodeItemResult(const ItemResult& result) {
  return json{{"item", result.item},
              {"complete", result.is_complete},
              {"text", result.text},
              {"object", result.object}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ItemResult> DecodeItemResult(const std::string& text) {
  const json root = json::parse(text, nullptr, false);
  using Type = json::value_t;
  if (!root.is_object() || !Has(root, "item", Type::string) ||
      !Has(root, "complete", Type::boolean) ||
      !Has(root, "text", Type::string) || !Has(root, "object", Type::string)) {
    return DecodeError("item result");
  }
  return ItemResult{.item = root["item"].get<std::string>(),
                    .is_complete = root["complete"].get<bool>(),
                    .text = root["text"].get<std::string>(),
                    .object = root["object"].get<std::string>()};
}

std::string EncodePartialRun(const PartialRun& partial) {
  return json{{"last_event", partial.last_event}, {"text", partial.text}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

Result<PartialRun> DecodePartialRun(const std::string& text) {
  const json root = json::parse(text, nullptr, false);
  using Type = json::value_t;
  if (!root.is_object() || !Has(root, "last_event", Type::number_unsigned) ||
      !Has(root, "text", Type::string)) {
    return DecodeError("partial run");
  }
  return PartialRun{.last_event = root["last_event"].get<std::uint64_t>(),
                    .text = root["text"].get<std::string>()};
}

}  // namespace carawayrelay

#include "process/store/intent_record.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;

const char* ToString(IntentState state) {
  switch (state) {
    case IntentState::kPending:
      return "pending";
    case IntentState::kDone:
      return "done";
    case IntentState::kReleased:
      return "released";
  }
  return "pending";
}

std::optional<IntentState> ParseState(const std::string& text) {
  for (const IntentState state :
       {IntentState::kPending, IntentState::kDone, IntentState::kReleased}) {
    if (text == ToString(state)) {
      return state;
    }
  }
  return std::nullopt;
}

bool IsUtf8(const std::string& text) {
  try {
    (void)json(text).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

}  // namespace

IntentRecord NewIntent(const RecordIntent& request, const std::string& nonce) {
  return {.workspace = request.workspace,
          .key = request.key,
          .content_hash = request.content_hash,
          .nonce = nonce};
}

IntentRecord CompletedIntent(const IntentRecord& record,
                             std::optional<StoredResponse> response) {
  assert(record.state == IntentState::kPending);
  IntentRecord done = record;
  done.state = IntentState::kDone;
  done.response = std::move(response);
  return done;
}

IntentRecord ReleasedIntent(const IntentRecord& record) {
  assert(record.state == IntentState::kPending);
  IntentRecord released = record;
  released.state = IntentState::kReleased;
  return released;
}

bool CanTakeOver(const IntentRecord& record) {
  return record.state == IntentState::kReleased;
}

IntentExists RespondToResend(const IntentRecord& record,
                             const RecordIntent& resend) {
  if (record.content_hash != resend.content_hash) {
    return {.request = resend.request, .same_content = false};
  }
  return {.request = resend.request, .response = record.response};
}

bool IsStorable(const StoredResponse& response) {
  return response.body.size() + response.content_type.size() <=
             kMaxStoredResponseBytes &&
         IsUtf8(response.body) && IsUtf8(response.content_type);
}

std::string IntentRowKey(const std::string& workspace, const std::string& key) {
  return workspace + "/" + key;
}

std::string ToJson(const IntentRecord& record) {
  json row{{"state", ToString(record.state)},
           {"workspace", record.workspace},
           {"key", record.key},
           {"content_hash", record.content_hash},
           {"nonce", record.nonce}};
  if (record.response) {
    row["answer"] = {{"http_status", record.response->http_status},
                     {"content_type", record.response->content_type},
                     {"body", record.response->body}};
  }
  // The key comes from the client and may not be valid UTF-8. It is stored for
  // operators only, so a replacement character does no harm.
  return row.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<IntentRecord> ParseIntentRecord(const std::string& text) {
  try {
    const json row = json::parse(text);
    IntentRecord record;
    const auto state = ParseState(row.at("state").get<std::string>());
    if (!state) {
      return Error{ErrorCode::kInternal, "intent row: unknown state"};
    }
    record.state = *state;
    row.at("workspace").get_to(record.workspace);
    row.at("key").get_to(record.key);
    row.at("content_hash").get_to(record.content_hash);
    row.at("nonce").get_to(record.nonce);
    if (row.contains("answer")) {
      const json& answer = row.at("answer");
      record.response = StoredResponse{
          .http_status = answer.at("http_status").get<int>(),
          .content_type = answer.at("content_type").get<std::string>(),
          .body = answer.at("body").get<std::string>()};
    }
    return record;
  } catch (const json::exception& e) {
    return Error{ErrorCode::kInternal, std::string("intent row: ") + e.what()};
  }
}

}  // namespace carawayrelay

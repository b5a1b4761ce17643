#include "process/agent/backend_response.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace carawayrelay {
namespace {

using nlohmann::json;

constexpr std::string_view kEndMarker = "[DONE]";
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr int kConflict = 409;

// Returns the token count that the backend server reports, or `fallback`.
std::uint64_t ReportedTokens(const json& response, std::uint64_t fallback) {
  const auto usage = response.find("usage");
  if (usage == response.end() || !usage->is_object()) {
    return fallback;
  }
  const auto tokens = usage->find("completion_tokens");
  return tokens != usage->end() && tokens->is_number_unsigned()
             ? tokens->get<std::uint64_t>()
             : fallback;
}

// True for an event that carries output. The first and last events of a stream
// may carry only a role or a finish reason.
bool HasContent(const json& event) {
  const json::json_pointer content("/choices/0/delta/content");
  return event.contains(content) && event.at(content).is_string() &&
         !event.at(content).get_ref<const std::string&>().empty();
}

bool HasId(const json& response, const std::string& id) {
  const auto it = response.find("id");
  return it != response.end() && it->is_string() &&
         it->get_ref<const std::string&>() == id;
}

}  // namespace

void BackendResponse::OnHeaders(int http_status, std::string content_type) {
  http_status_ = http_status;
  content_type_ = std::move(content_type);
}

Result<std::string> BackendResponse::OnData(std::string_view data) {
  if (options_.kind == BackendKind::kService) {
    return std::string(data);
  }
  if (IsSuccess() && options_.stream) {
    return OnStreamData(data);
  }
  if (buffered_.size() + data.size() > kMaxBufferedBytes) {
    return Error{ErrorCode::kInvalid, "response over the limit"};
  }
  buffered_ += data;
  return std::string();
}

Result<std::string> BackendResponse::OnStreamData(std::string_view data) {
  if (!content_type_.starts_with("text/event-stream")) {
    return Error{ErrorCode::kInvalid, "response is not an event stream"};
  }
  BOOST_OUTCOME_TRY(const std::vector<SseEvent> events, parser_.Feed(data));
  std::string checked;
  for (const SseEvent& event : events) {
    if (has_end_marker_) {
      return Error{ErrorCode::kInvalid, "event after the end marker"};
    }
    if (event.data == kEndMarker) {
      has_end_marker_ = true;
      continue;
    }
    BOOST_OUTCOME_TRY(CheckEvent(event));
    checked += ToSseText(event.data);
  }
  return checked;
}

Result<void> BackendResponse::CheckEvent(const SseEvent& event) {
  const json parsed = json::parse(event.data, nullptr, false);
  if (!parsed.is_object()) {
    return Error{ErrorCode::kInvalid, "event is not a JSON object"};
  }
  if (!HasId(parsed, options_.request_id)) {
    return Error{ErrorCode::kInvalid, "event of another request"};
  }
  tokens_ = ReportedTokens(parsed, tokens_ + (HasContent(parsed) ? 1 : 0));
  return Success();
}

BackendResponse::Outcome BackendResponse::Finish() {
  if (options_.kind == BackendKind::kService) {
    return MakeEnd("");
  }
  if (!IsSuccess()) {
    return FinishErrorStatus();
  }
  return options_.stream ? FinishStream() : FinishBuffered();
}

BackendResponse::Outcome BackendResponse::FinishStream() {
  if (!has_end_marker_ || parser_.HasPartialEvent()) {
    return {.end = Fail("stream without its end marker", true)};
  }
  // The end marker is forwarded only now, after the transfer has ended, so that
  // a client never gets it with an incomplete stream.
  return MakeEnd(ToSseText(kEndMarker));
}

BackendResponse::Outcome BackendResponse::FinishBuffered() {
  const json parsed = json::parse(buffered_, nullptr, false);
  if (!parsed.is_object()) {
    return {.end = Fail("response is not a JSON object", true)};
  }
  if (!HasId(parsed, options_.request_id)) {
    return {.end = Fail("response of another request", true)};
  }
  tokens_ = ReportedTokens(parsed, 0);
  return MakeEnd(std::move(buffered_));
}

BackendResponse::Outcome BackendResponse::FinishErrorStatus() {
  if (options_.has_checked_fence && http_status_ == kConflict) {
    return {.end = MakeFailed(RefusalCode::kFenced, RunState::kNotRun,
                              "the engine has seen a higher fence")};
  }
  const std::string reason =
      "the engine answered with status " + std::to_string(http_status_);
  // With both statuses the backend server did not start the request.
  if (http_status_ == kTooManyRequests || http_status_ == kServiceUnavailable) {
    return {.end = MakeFailed(RefusalCode::kBackendFailed, RunState::kNotRun,
                              reason)};
  }
  if (http_status_ >= 500) {
    return {.end = MakeFailed(RefusalCode::kBackendFailed, RunState::kUnknown,
                              reason)};
  }
  return MakeEnd(std::move(buffered_));
}

BackendFailed BackendResponse::Fail(std::string reason,
                                    bool is_connected) const {
  const RunState run_state = IsSuccess()    ? RunState::kRan
                             : is_connected ? RunState::kUnknown
                                            : RunState::kNotRun;
  return MakeFailed(RefusalCode::kBackendFailed, run_state, std::move(reason));
}

BackendResponse::Outcome BackendResponse::MakeEnd(std::string last_part) const {
  return {.last_part = std::move(last_part),
          .end = BackendEnd{.call = options_.call,
                            .http_status = http_status_,
                            .content_type = content_type_,
                            .tokens = tokens_}};
}

BackendFailed BackendResponse::MakeFailed(RefusalCode code,
                                          RunState run_state,
                                          std::string reason) const {
  return {.call = options_.call,
          .code = code,
          .run_state = run_state,
          .reason = std::move(reason)};
}

}  // namespace carawayrelay

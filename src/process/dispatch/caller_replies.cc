#include "process/dispatch/caller_replies.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "process/dispatch/refusal_json.h"

namespace carawayrelay {
namespace {

constexpr std::string_view kDoneEvent = "data: [DONE]";

}  // namespace

std::string WithoutDoneEvent(std::string data) {
  size_t position = data.find(kDoneEvent);
  // Text of the answer cannot hold a line break, so the start of a line is the
  // start of a field.
  while (position != std::string::npos && position > 0 &&
         data[position - 1] != '\n') {
    position = data.find(kDoneEvent, position + 1);
  }
  if (position != std::string::npos) {
    data.resize(position);
  }
  return data;
}

void CallerReplies::Add(RequestId request, HttpExchangePtr exchange) {
  callers_[request] = {.exchange = std::move(exchange)};
}

HttpExchangePtr CallerReplies::Take(RequestId request) {
  auto node = callers_.extract(request);
  return node.empty() ? nullptr : std::move(node.mapped().exchange);
}

void CallerReplies::StartStream(Caller& caller) {
  if (!std::exchange(caller.is_streaming, true)) {
    caller.exchange->StartStream(200, {{"Content-Type", "text/event-stream"},
                                       {"Cache-Control", "no-cache"}});
  }
}

void CallerReplies::Perform(Answer action) {
  if (const HttpExchangePtr exchange = Take(action.request)) {
    HttpHeaders headers;
    if (!action.content_type.empty()) {
      headers.emplace_back("Content-Type", std::move(action.content_type));
    }
    exchange->Reply(action.http_status, headers, std::move(action.body));
  }
}

void CallerReplies::Perform(const AnswerModels& action) {
  const HttpExchangePtr exchange = Take(action.request);
  if (!exchange) {
    return;
  }
  nlohmann::json body = {{"object", "list"}, {"data", nlohmann::json::array()}};
  for (const std::string& model : action.models) {
    body["data"].push_back(
        {{"id", model}, {"object", "model"}, {"owned_by", "carawayrelay"}});
  }
  exchange->Reply(200, {{"Content-Type", "application/json"}}, body.dump());
}

bool CallerReplies::Perform(ForwardPart action) {
  const auto it = callers_.find(action.request);
  if (it == callers_.end()) {
    return true;
  }
  StartStream(it->second);
  std::string data = WithoutDoneEvent(std::move(action.data));
  if (data.empty() || it->second.exchange->SendPart(std::move(data))) {
    return true;
  }
  callers_.erase(it);
  return false;
}

void CallerReplies::Perform(const FinishStream& action) {
  const auto it = callers_.find(action.request);
  if (it == callers_.end()) {
    return;
  }
  StartStream(it->second);
  const HttpExchangePtr exchange = Take(action.request);
  exchange->SendPart(std::string(kDoneEvent) + "\n\n");
  exchange->EndStream();
}

void CallerReplies::Perform(const BreakStream& action) {
  if (const HttpExchangePtr exchange = Take(action.request)) {
    exchange->SendPart("data: " + ToJson(action.refusal) + "\n\n");
    exchange->Abort();
  }
}

void CallerReplies::Perform(const Refuse& action) {
  if (const HttpExchangePtr exchange = Take(action.request)) {
    ReplyRefusal(*exchange, action.refusal);
  }
}

std::vector<RequestId> CallerReplies::TakeGone() {
  std::vector<RequestId> gone;
  for (const auto& [request, caller] : callers_) {
    if (caller.exchange->IsGone()) {
      gone.push_back(request);
    }
  }
  for (const RequestId request : gone) {
    callers_.erase(request);
  }
  return gone;
}

}  // namespace carawayrelay

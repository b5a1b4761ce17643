#include "process/dispatch/client_responses.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "process/dispatch/refusal_json.h"

namespace carawayrelay {
namespace {

constexpr std::string_view kDoneEvent = "data: [DONE]";

}  // namespace

std::string WithoutDoneEvent(std::string data) {
  size_t position = data.find(kDoneEvent);
  // The JSON text of an event cannot contain a line break, so a match at the
  // start of a line is a field and not generated text.
  while (position != std::string::npos && position > 0 &&
         data[position - 1] != '\n') {
    position = data.find(kDoneEvent, position + 1);
  }
  if (position != std::string::npos) {
    data.resize(position);
  }
  return data;
}

void ClientResponses::Add(RequestId request, HttpExchangePtr exchange) {
  clients_[request] = {.exchange = std::move(exchange)};
}

HttpExchangePtr ClientResponses::Take(RequestId request) {
  auto node = clients_.extract(request);
  return node.empty() ? nullptr : std::move(node.mapped().exchange);
}

void ClientResponses::StartStream(Client& client) {
  if (!std::exchange(client.is_streaming, true)) {
    client.exchange->StartStream(200, {{"Content-Type", "text/event-stream"},
                                       {"Cache-Control", "no-cache"}});
  }
}

void ClientResponses::Perform(SendResponse action) {
  if (const HttpExchangePtr exchange = Take(action.request)) {
    HttpHeaders headers;
    if (!action.content_type.empty()) {
      headers.emplace_back("Content-Type", std::move(action.content_type));
    }
    exchange->Respond(action.http_status, headers, action.body);
  }
}

void ClientResponses::Perform(const SendModels& action) {
  const HttpExchangePtr exchange = Take(action.request);
  if (!exchange) {
    return;
  }
  nlohmann::json body = {{"object", "list"}, {"data", nlohmann::json::array()}};
  for (const std::string& model : action.models) {
    body["data"].push_back(
        {{"id", model}, {"object", "model"}, {"owned_by", "carawayrelay"}});
  }
  exchange->Respond(200, {{"Content-Type", "application/json"}}, body.dump());
}

bool ClientResponses::Perform(ForwardPart action) {
  const auto it = clients_.find(action.request);
  if (it == clients_.end()) {
    return true;
  }
  StartStream(it->second);
  std::string data = WithoutDoneEvent(std::move(action.data));
  if (data.empty() || it->second.exchange->SendPart(data)) {
    return true;
  }
  clients_.erase(it);
  return false;
}

void ClientResponses::Perform(const FinishStream& action) {
  const auto it = clients_.find(action.request);
  if (it == clients_.end()) {
    return;
  }
  StartStream(it->second);
  const HttpExchangePtr exchange = Take(action.request);
  exchange->SendPart(std::string(kDoneEvent) + "\n\n");
  exchange->EndStream();
}

void ClientResponses::Perform(const AbortStream& action) {
  if (const HttpExchangePtr exchange = Take(action.request)) {
    exchange->SendPart("data: " + ToJson(action.refusal) + "\n\n");
    exchange->Abort();
  }
}

void ClientResponses::Perform(const Refuse& action) {
  if (const HttpExchangePtr exchange = Take(action.request)) {
    SendRefusal(*exchange, action.refusal);
  }
}

std::vector<RequestId> ClientResponses::TakeDisconnected() {
  std::vector<RequestId> disconnected;
  for (const auto& [request, client] : clients_) {
    if (client.exchange->IsDisconnected()) {
      disconnected.push_back(request);
    }
  }
  for (const RequestId request : disconnected) {
    clients_.erase(request);
  }
  return disconnected;
}

}  // namespace carawayrelay

#include "standins/service_standin.h"

#include <utility>

namespace carawayrelay::tools {
namespace {

using nlohmann::json;

// Returns the id of an order: its Idempotency-Key, else the "id" of its body,
// else an empty string.
std::string OrderId(const HttpRequest& request) {
  std::string key = HeaderOf(request, "idempotency-key");
  if (!key.empty()) {
    return key;
  }
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("id")) {
    return "";
  }
  return body["id"].is_string() ? body["id"].get<std::string>()
                                : body["id"].dump();
}

}  // namespace

ServiceStandin::ServiceStandin(const Options& options,
                               const EventLog& log,
                               StandinServer& server)
    : log_(log), server_(server), work_time_(options.work_time) {}

void ServiceStandin::Handle(HttpCall call) {
  if (call.request.path == "/control") {
    HandleControl(call);
    return;
  }
  server_.After(work_time_, [this, call = std::move(call)] { Execute(call); });
}

void ServiceStandin::HandleControl(const HttpCall& call) {
  const json control = json::parse(call.request.body, nullptr, false);
  if (!control.is_object()) {
    ReplyJson(*call.exchange, 400, {{"error", "not a JSON object"}});
    return;
  }
  log_.Write("control", {{"fields", control}});
  work_time_ =
      std::chrono::milliseconds(control.value("slow_ms", work_time_.count()));
  lose_responses_ = control.value("lose_responses", lose_responses_);
  ReplyJson(*call.exchange, 200, json::object());
}

void ServiceStandin::Execute(const HttpCall& call) {
  const HttpRequest& request = call.request;
  json body = {{"method", request.method},
               {"path", request.path},
               {"query", request.query},
               {"body", request.body},
               {"count", ++requests_}};
  const bool is_order = request.method == "POST" && request.path == "/orders";
  if (is_order) {
    body["order"] = ++orders_;
  }
  log_.Write(is_order ? "order_executed" : "call_executed",
             {{"id", OrderId(request)},
              {"method", request.method},
              {"path", request.path},
              {"shows_key", request.headers.contains("authorization")}});
  if (lose_responses_ > 0) {
    --lose_responses_;
    log_.Write("response_lost", {{"id", OrderId(request)}});
    call.exchange->Abort();
    return;
  }
  ReplyJson(*call.exchange, 200, body);
}

}  // namespace carawayrelay::tools

#include "process/transport/outbound_calls.h"

namespace carawayrelay {

OutboundCallId OutboundCalls::Start(OutboundCall call, Handler handler) {
  const OutboundCallId id{next_id_++};
  call.id = id;
  handlers_.emplace(id, std::move(handler));
  if (!start_(std::move(call))) {
    start_failures_.push_back(id);
  }
  return id;
}

void OutboundCalls::Cancel(OutboundCallId id) {
  if (handlers_.erase(id) > 0) {
    cancel_(id);
  }
}

void OutboundCalls::Deliver(CallEvent& event) {
  const OutboundCallId id =
      std::visit([](const auto& e) { return e.id; }, event);
  const auto it = handlers_.find(id);
  if (it == handlers_.end()) {
    return;
  }
  if (std::holds_alternative<CallEnd>(event)) {
    const Handler handler = std::move(it->second);
    handlers_.erase(it);
    handler(event);
    return;
  }
  // Copied, because the handler may cancel its own call, which erases it.
  const Handler handler = it->second;
  handler(event);
}

void OutboundCalls::DeliverStartFailures() {
  while (!start_failures_.empty()) {
    CallEvent event = CallEnd{.id = start_failures_.back(),
                              .reason = "too many calls are waiting"};
    start_failures_.pop_back();
    Deliver(event);
  }
}

}  // namespace carawayrelay

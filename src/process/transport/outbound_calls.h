#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "connection/outbound_call.h"

namespace carawayrelay {

// The calls in progress of one event loop thread, each with the handler of its
// events. Events of cancelled calls are dropped. Not thread-safe.
class OutboundCalls {
 public:
  using Handler = std::function<void(CallEvent&)>;
  using StartCall = std::function<bool(OutboundCall)>;
  using CancelCall = std::function<void(OutboundCallId)>;

  OutboundCalls(StartCall start, CancelCall cancel)
      : start_(std::move(start)), cancel_(std::move(cancel)) {}

  // Starts the call. When it cannot be started, the handler gets CallEnd from
  // the next DeliverStartFailures(), never from within Start().
  OutboundCallId Start(OutboundCall call, Handler handler);
  // Cancels the call; its handler gets no more events.
  void Cancel(OutboundCallId id);
  // Passes an event to the handler of its call. CallEnd removes the call.
  void Deliver(CallEvent& event);
  // Delivers CallEnd to the handlers of calls that could not be started.
  void DeliverStartFailures();
  size_t size() const { return handlers_.size(); }

 private:
  StartCall start_;
  CancelCall cancel_;
  std::map<OutboundCallId, Handler> handlers_;
  std::vector<OutboundCallId> start_failures_;
  std::uint64_t next_id_ = 1;
};

}  // namespace carawayrelay

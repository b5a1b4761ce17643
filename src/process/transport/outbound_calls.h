#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "connection/outbound_call.h"

namespace carawayrelay {

// The calls that one deciding thread has running, each with the function that
// takes its events. Events of cancelled calls are dropped.
class OutboundCalls {
 public:
  using Handler = std::function<void(CallEvent&)>;
  using StartCall = std::function<bool(OutboundCall)>;
  using CancelCall = std::function<void(OutboundId)>;

  OutboundCalls(StartCall start, CancelCall cancel)
      : start_(std::move(start)), cancel_(std::move(cancel)) {}

  // Starts the call. Without room for it, the handler gets a CallEnd from
  // DeliverStartFailures(), never from here.
  OutboundId Start(OutboundCall call, Handler handler);
  void Cancel(OutboundId id);
  // Hands an event to the handler of its call.
  void Deliver(CallEvent& event);
  // Ends the calls that could not be started.
  void DeliverStartFailures();
  size_t size() const { return handlers_.size(); }

 private:
  StartCall start_;
  CancelCall cancel_;
  std::map<OutboundId, Handler> handlers_;
  std::vector<OutboundId> start_failures_;
  std::uint64_t next_id_ = 1;
};

}  // namespace carawayrelay

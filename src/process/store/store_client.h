#pragma once

#include <functional>
#include <string>
#include <utility>

#include "process/serving/event_loop_clock.h"
#include "process/store/store_call.h"
#include "process/transport/outbound_calls.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Calls of one deciding thread to the platform's store. Nothing is repeated
// here: a write without an answer is kUnknown and its caller reads back.
class StoreClient {
 public:
  // Address "IP:port" of the store.
  StoreClient(std::string address,
              OutboundCalls& calls,
              const EventLoopClock& clock)
      : address_(std::move(address)), calls_(calls), clock_(clock) {}

  void Send(StoreRequest request, StoreDone done);
  StorePort port() {
    return [this](StoreRequest request, StoreDone done) {
      Send(std::move(request), std::move(done));
    };
  }

  // Told of each finished call: its kind, how it ended and how long it took.
  using Observe =
      std::function<void(const char* kind, StoreStatus status, Duration took)>;
  void SetObserver(Observe observe) { observe_ = std::move(observe); }

  // The store's clock now, from the newest reply; zero before the first.
  std::chrono::milliseconds StoreTime(TimePoint now) const;

 private:
  void Finish(const StoreRequest& request,
              int status,
              std::string body,
              const CallEnd& end,
              TimePoint started,
              const StoreDone& done);
  void NoteContact(const StoreReply& reply);

  std::string address_;
  OutboundCalls& calls_;
  const EventLoopClock& clock_;
  Observe observe_;
  std::chrono::milliseconds store_time_{0};
  TimePoint store_time_at_{};
  bool is_away_ = false;
  TimePoint away_since_{};
};

}  // namespace carawayrelay

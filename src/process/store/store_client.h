#pragma once

#include <functional>
#include <string>
#include <utility>

#include "process/serving/event_loop_clock.h"
#include "process/store/store_request.h"
#include "process/transport/outbound_calls.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Non-blocking client of the store for one event loop thread. It does not
// retry: a write without a response ends with kUnknown, and its sender must
// read the rows to learn the outcome.
class StoreClient {
 public:
  // `address` is the "IP:port" of the store.
  StoreClient(std::string address,
              OutboundCalls& calls,
              const EventLoopClock& clock)
      : address_(std::move(address)), calls_(calls), clock_(clock) {}

  void Send(StoreRequest request, StoreCallback callback);
  StoreSender sender() {
    return [this](StoreRequest request, StoreCallback callback) {
      Send(std::move(request), std::move(callback));
    };
  }

  // Called after each call with its kind, status and duration.
  using CallObserver =
      std::function<void(const char* kind, StoreStatus status, Duration took)>;
  void SetObserver(CallObserver observer) { observer_ = std::move(observer); }

  // Estimates the store's clock at `now` from the newest response. Returns zero
  // before the first response.
  std::chrono::milliseconds StoreTime(TimePoint now) const;

 private:
  void Finish(const StoreRequest& request,
              int status,
              std::string body,
              const CallEnd& end,
              TimePoint started,
              const StoreCallback& callback);
  void UpdateAvailability(const StoreResponse& response);

  std::string address_;
  OutboundCalls& calls_;
  const EventLoopClock& clock_;
  CallObserver observer_;
  std::chrono::milliseconds store_time_{0};
  TimePoint store_time_received_at_{};
  bool is_unavailable_ = false;
  TimePoint unavailable_since_{};
};

}  // namespace carawayrelay

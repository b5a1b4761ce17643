#pragma once

#include <functional>
#include <string>
#include <utility>

#include "process/serving/step_clock.h"
#include "process/store/store_request.h"
#include "process/transport/outbound_calls.h"
#include "request/boot_clock.h"

namespace carawayrelay {

// Calls of one deciding thread to the platform's store. Nothing is repeated
// here: a write without an answer is kUnknown and its caller reads back.
class StoreClient {
 public:
  // Address "IP:port" of the store.
  StoreClient(std::string address, OutboundCalls& calls, const StepClock& clock)
      : address_(std::move(address)), calls_(calls), clock_(clock) {}

  void Send(StoreRequest request, StoreCallback callback);
  StoreSender sender() {
    return [this](StoreRequest request, StoreCallback callback) {
      Send(std::move(request), std::move(callback));
    };
  }

  // Told of each finished call: its kind, how it ended and how long it took.
  using CallObserver =
      std::function<void(const char* kind, StoreStatus status, Duration took)>;
  void SetObserver(CallObserver observer) { observer_ = std::move(observer); }

  // The store's clock now, from the newest reply; zero before the first.
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
  const StepClock& clock_;
  CallObserver observer_;
  std::chrono::milliseconds store_time_{0};
  TimePoint store_time_received_at_{};
  bool is_unavailable_ = false;
  TimePoint unavailable_since_{};
};

}  // namespace carawayrelay

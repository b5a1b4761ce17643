#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>

#include "carawayrelay/request.h"
#include "carawayrelay/version.h"
#include "process/dispatch/backend_table.h"
#include "process/dispatch/dispatch_event.h"
#include "process/dispatch/request_table.h"
#include "process/limits/local_limits.h"
#include "process/limits/shared_limits.h"

namespace carawayrelay {

// Makes the decisions of an entry about online requests: admission, queueing,
// choice of agent, retries and the outcome of each response. This is a state
// machine without encodings, sockets or threads. Not thread-safe; a single
// thread owns it.
class Dispatcher {
 public:
  struct Options {
    std::string zone;
    ChoicePolicy choice = PowerOfTwoChoices{};
    FairPolicy fairness = VirtualTokenCounter{};
    // Set to enforce rate limits across all entries. When empty, this entry
    // enforces them on its own.
    std::optional<SharedLimits::Options> shared_limits;
    RetryPolicy retry;
    // Maximum number of queued requests per route.
    size_t queue_capacity = 1024;
    // Maximum total size of the bodies of all active requests. Keeps queued
    // requests from exhausting memory.
    size_t max_total_body_bytes = size_t{1} << 30;
    size_t max_response_bytes = size_t{64} << 20;
    // Time from the arrival of a request until it is ended.
    std::chrono::milliseconds time_limit{120000};
    // Time for which new requests are still accepted after the local zone was
    // taken out of service. Gives the load balancer time to detect that this
    // entry is not ready.
    std::chrono::milliseconds zone_out_grace{2000};
    std::uint64_t seed = 1;
  };

  struct Counters {
    // Requests that passed the checks before the rate limit.
    std::uint64_t admitted = 0;
    // Requests submitted to an agent, including retries.
    std::uint64_t attempts = 0;
    // Failed attempts whose request was queued again.
    std::uint64_t retries = 0;
    // Frames received for unknown or finished attempts.
    std::uint64_t dropped_frames = 0;
  };

  explicit Dispatcher(Options options);

  // Handles one event and returns the actions to perform, in order. `now` must
  // not be earlier than in the previous call.
  DispatchActions Handle(DispatchEvent event, TimePoint now);
  // Latest time at which a Tick must be handled, or nothing when no deadline is
  // pending.
  std::optional<TimePoint> NextDeadline() const;

  ConfigVersion config_version() const {
    return config_ ? config_->version() : kNoConfig;
  }
  const Counters& counters() const { return counters_; }

 private:
  void On(RequestArrived& event);
  void On(ModelsRequested& event);
  void On(ClientDisconnected& event);
  void On(LinkUp& event);
  void On(LinkMessage& event);
  void On(LinkDown& event);
  void On(ConfigAdopted& event);
  void On(LimitLeaseEvent& event);
  void On(IntentRecorded& event);
  void On(IntentExists& event);
  void On(IntentFailed& event);
  void On(StopRequested& event);
  void On(Tick& event);

  void OnPart(ConnectionId from, Part& part);
  void OnEnd(ConnectionId from, const End& end);
  void OnRefused(ConnectionId from, Refused& refused);
  void OnStatus(ConnectionId from, const Status& status);

  // Returns the refusal for all new requests while none is accepted, or
  // nothing.
  std::optional<Refusal> RefusalIfNotServing() const;
  // Handles messages from other entries.
  void OnPeerMessage(LinkMessage& event);
  // Takes a token from the rate limit of the workspace. With shared limits the
  // request may have to wait for one.
  Admission ApplyRateLimit(const std::string& workspace, RequestId request);
  std::chrono::milliseconds RateRetryAfter(const std::string& workspace);
  // Sends the pending messages of the shared limits and handles the admission
  // results of requests that waited for tokens.
  void AdvanceLimits();
  void HandleAdmission(const AdmissionResult& result);
  Refusal RateLimitedRefusal(const std::string& workspace);
  // Continues a request that was admitted by the rate limit.
  void RecordIntentOrEnqueue(ActiveRequest& request);
  // Returns the access of the request. Returns nothing after refusing it.
  std::optional<Access> AuthorizeOrRefuse(const ClientRequest& call);
  void RefuseUnadmitted(const ClientRequest& call,
                        const std::string& workspace,
                        Refusal refusal);
  // Checks the access of a request that is not running against the current
  // configuration. Returns false when the request was refused and erased.
  bool ReauthorizeOrAbort(ActiveRequest& request);
  void SendConfigIfNewer(BackendView& view);
  void ReportReadinessChange();

  FairQueue& QueueOf(const std::string& route);
  static QueuedRequest ToQueued(const ActiveRequest& request);
  void Enqueue(ActiveRequest& request);
  // Returns a request that was already dequeued to the front of the queue.
  void Requeue(ActiveRequest& request);
  // Submits queued requests of the route while agents have free slots.
  void DispatchQueued(const std::string& route);
  void DispatchRoutesOf(const BackendView& view);
  void DispatchAllRoutes();
  void Submit(ActiveRequest& request, BackendView& view);

  // Ends the running attempt. Returns the view of its agent, or nullptr when
  // the agent is disconnected.
  BackendView* CloseAttempt(ActiveRequest& request, bool send_cancel);
  void FailAttempt(ActiveRequest& request, Refusal refusal, bool send_cancel);
  // Marks the agent as leaving, or keeps new requests away from it for a time
  // that depends on the refusal.
  void AvoidAgent(ConnectionId backend, const Refusal& refusal);
  // Stops the request in any phase and ends it with the refusal, whose run
  // state is set to the one of the request. The calling function must dispatch
  // queued requests afterwards, once all requests that must end have ended.
  void AbortRequest(ActiveRequest& request, Refusal refusal);
  void FinishWithRefusal(ActiveRequest& request, Refusal refusal);
  void FinishWithResponse(ActiveRequest& request, const End& end);
  void Erase(ActiveRequest& request, std::optional<RefusalCode> refused);

  template <class Action>
  void Emit(Action action) {
    actions_.emplace_back(std::move(action));
  }

  Options options_;
  std::mt19937_64 rng_;
  ConfigPtr config_;
  std::variant<LocalLimits, SharedLimits> limits_;
  TimePoint next_acknowledged_report_;
  RequestTable requests_;
  BackendTable backends_;
  std::map<std::string, FairQueue> queues_;
  Counters counters_;
  size_t total_body_bytes_ = 0;
  std::uint64_t next_attempt_ = 1;
  // Rotates the order in which the routes of an agent get its free slots, so
  // that no route starves another one on the same agents.
  size_t route_rotation_ = 0;
  // Earliest time at which an avoided agent may get requests again.
  std::optional<TimePoint> next_dispatch_;
  // Set while the local zone is out of service.
  std::optional<TimePoint> zone_out_since_;
  bool is_draining_ = false;
  bool is_drained_ = false;
  bool is_ready_ = false;

  // Valid during a call of Handle().
  TimePoint now_;
  DispatchActions actions_;
};

}  // namespace carawayrelay

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

// All decisions of an entry about online requests: admission, waiting, choice
// of backend server, retries and the end of each answer. A state machine
// without encodings, sockets or threads; one thread owns it.
class Dispatcher {
 public:
  struct Options {
    std::string zone;
    ChoicePolicy choice = PowerOfTwoChoices{};
    FairPolicy fairness = VirtualTokenCounter{};
    // Counts rate limits over all entries; without it this entry limits alone.
    std::optional<SharedLimits::Options> shared_limits;
    RetryPolicy retry;
    // Requests that may wait for each route.
    size_t queue_capacity = 1024;
    // Bodies of all requests together, so that waiting callers cannot use up
    // the memory.
    size_t max_held_bytes = size_t{1} << 30;
    size_t max_answer_bytes = size_t{64} << 20;
    std::chrono::milliseconds time_limit{120000};
    // New requests are still served this long after the own zone was taken
    // out, while the balancer notices that this entry is not ready.
    std::chrono::milliseconds zone_out_grace{2000};
    std::uint64_t seed = 1;
  };

  struct Counters {
    std::uint64_t admitted = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    // Frames of unknown or finished attempts.
    std::uint64_t dropped_frames = 0;
  };

  explicit Dispatcher(Options options);

  // Takes one event and returns what to do, in order. `now` must not go back.
  DispatchActions Handle(DispatchEvent event, TimePoint now);
  // When Tick must be handled at the latest; nothing when no time limit runs.
  std::optional<TimePoint> NextDeadline() const;

  ConfigVersion config_version() const {
    return config_ ? config_->version() : kNoConfig;
  }
  const Counters& counters() const { return counters_; }

 private:
  void On(RequestArrived& event);
  void On(ModelsAsked& event);
  void On(CallerGone& event);
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

  // Why no new request is taken now, or nothing.
  std::optional<Refusal> RefusalForAll() const;
  // Messages of other entries.
  void OnPeer(LinkMessage& event);
  // Spends a token of the workspace, or lets the request wait for one.
  Admission AdmitByRate(const std::string& workspace, RequestId request);
  std::chrono::milliseconds RateRetryAfter(const std::string& workspace);
  // Sends what the shared limits want sent and ends the waits for tokens.
  void AdvanceLimits();
  void HandleAdmission(const AdmissionResult& result);
  Refusal OverRate(const std::string& workspace);
  // Goes on with a request that has its token.
  void Proceed(ActiveRequest& request);
  // Checks the request and returns its access, or nothing after refusing it.
  std::optional<Access> Admit(const ClientRequest& call);
  void RefuseNew(const ClientRequest& call,
                 const std::string& workspace,
                 Refusal refusal);
  // Checks a request that does not run under the new version. Returns false
  // when it was refused and is gone.
  bool Recheck(ActiveRequest& request);
  void PushConfig(BackendView& view);
  void ReportReadiness();

  FairQueue& QueueOf(const std::string& route);
  static QueuedRequest ToQueued(const ActiveRequest& request);
  void Enqueue(ActiveRequest& request);
  // Puts a request that had its turn back in front.
  void Requeue(ActiveRequest& request);
  // Hands waiting requests of the route over while agents have room.
  void Pump(const std::string& route);
  void PumpRoutesOf(const BackendView& view);
  void PumpAll();
  void Submit(ActiveRequest& request, BackendView& view);

  // Ends the running attempt and returns the view of its agent, or nullptr.
  BackendView* CloseAttempt(ActiveRequest& request, bool send_cancel);
  void FailAttempt(ActiveRequest& request, Refusal refusal, bool send_cancel);
  void Avoid(ConnectionId backend, const Refusal& refusal);
  // Stops the request wherever it is and ends it with the refusal, whose run
  // state is set to what is known. The caller pumps afterwards, once all
  // requests that must end have ended.
  void Abandon(ActiveRequest& request, Refusal refusal);
  void FinishRefused(ActiveRequest& request, Refusal refusal);
  void FinishAnswered(ActiveRequest& request, const End& end);
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
  size_t held_bytes_ = 0;
  std::uint64_t next_attempt_ = 1;
  // Which route of an agent is served first when it gets room; rotates, so
  // that no route starves another on the same agents.
  size_t first_route_ = 0;
  // When an agent that is avoided may be tried again.
  std::optional<TimePoint> next_pump_;
  std::optional<TimePoint> zone_out_since_;
  bool is_draining_ = false;
  bool is_drained_ = false;
  bool is_ready_ = false;

  // Of the running Handle().
  TimePoint now_;
  DispatchActions actions_;
};

}  // namespace carawayrelay

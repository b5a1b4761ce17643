#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"
#include "process/agent/admission_event.h"

namespace carawayrelay {

// Makes all decisions of an agent: which calls run on the backend server, and
// which messages the entries get. Its concurrency window is the limit for the
// calls of all entries together.
//
// Not thread-safe; all methods run on the event loop thread. It does no I/O:
// Handle() takes an event and returns the actions to perform.
class AdmissionController {
 public:
  static constexpr std::chrono::milliseconds kTickInterval{100};
  // Least time between two Status messages when only the load changed; limits
  // the number of messages while calls start and end.
  static constexpr std::chrono::milliseconds kStatusMinInterval{100};
  // A Status message is sent at least this often, also when nothing changed.
  static constexpr std::chrono::milliseconds kStatusMaxInterval{1000};

  struct Options {
    std::string zone;
    // Names of the routes that the backend server serves.
    std::vector<std::string> routes;
    ConcurrencyWindow::Limits window;
    // Time for online calls to finish after StopRequested; calls that still run
    // then are aborted.
    std::chrono::milliseconds drain_limit{30000};
  };

  AdmissionController(Options options, TimePoint now);

  // Handles one event and returns the actions to perform, in order. `now` must
  // not decrease between calls.
  std::vector<AdmissionAction> Handle(AdmissionEvent event, TimePoint now);

  ConfigVersion config_version() const;
  // Size of the concurrency window, in calls.
  int window() const { return window_.size(); }

 private:
  using AttemptKey = EndedAttempts::Key;

  enum class CallState {
    kWaiting,     // online call that waits for cancelled calls to end
    kRunning,     // the call to the backend server was started
    kCancelling,  // cancellation was requested; still counts in the window
  };

  struct Call {
    AttemptKey key;
    bool is_batch = false;
    CallState state = CallState::kWaiting;
    // False after the last message about the call was sent to the entry, or
    // after the entry cancelled the call or disconnected.
    bool needs_response = true;
    bool is_stream = false;
    // True once the backend server responded with a success status or with
    // output. False means that it may or may not have run the request.
    bool is_accepted = false;
    TimePoint started;
    // Parts received, whether or not they were forwarded.
    std::uint64_t parts = 0;
    // Set in state kWaiting only.
    std::optional<BackendCall> request;
  };
  using Calls = std::map<CallId, Call>;

  struct Peer {
    LinkClass link_class = LinkClass::kOnline;
  };

  void On(LinkUp& event);
  void On(LinkMessage& event);
  void On(LinkDown& event);
  void On(BackendStarted& event);
  void On(BackendPart& event);
  void On(BackendEnd& event);
  void On(BackendFailed& event);
  void On(BackendCancelled& event);
  void On(LoadReport& event);
  static void On(Tick& event) {}
  void On(StopRequested& event);

  void OnSubmit(ConnectionId connection, Submit& submit);
  void OnCancel(ConnectionId connection, const Cancel& cancel);
  void OnConfigUpdate(ConnectionId connection, ConfigUpdate& update);

  bool IsZoneOut() const;

  // Applies the window: starts waiting online calls while there are free slots,
  // cancels batch calls to free slots for those that still wait, and refuses
  // the newest online calls that fit neither way.
  void EnforceWindow();
  void Start(Call& call);
  // Requests the cancellation of a call in state kRunning; otherwise does
  // nothing.
  void CancelRunning(Call& call);
  // Returns false if no batch call is in state kRunning.
  bool CancelYoungestBatch();
  void CancelAllBatch();
  // Refuses and drops all calls once the drain deadline has passed.
  void AbortAtDrainDeadline();
  // Removes a call that has ended or was refused.
  void Erase(Calls::iterator it);

  // Sends the refusal to the entry if the call still needs a response.
  void RefuseOnce(Call& call, Refusal refusal);
  void Refuse(const AttemptKey& key, Refusal refusal);
  void Send(ConnectionId connection, Message message);
  void SendConfig(ConnectionId connection);
  // Sends Status and BatchRoom messages that are due.
  void SendLoadUpdates();
  Status MakeStatus() const;

  // Calls that count in the window: states kRunning and kCancelling.
  int running() const { return running_online_ + running_batch_; }
  int waiting() const { return static_cast<int>(waiting_.size()); }

  Options options_;
  ConcurrencyWindow window_;
  FenceTracker fences_;
  BatchCapacityShares batch_shares_;
  ConfigPtr config_;
  std::map<ConnectionId, Peer> peers_;
  Calls calls_;
  std::map<AttemptKey, CallId> attempts_;
  EndedAttempts ended_attempts_;
  // Calls in state kWaiting, oldest first.
  std::deque<CallId> waiting_;
  std::uint64_t next_call_ = 1;
  // Calls in the states kRunning and kCancelling.
  int running_online_ = 0;
  int running_batch_ = 0;
  // Calls in state kCancelling, whose slots become free soon.
  int cancelling_ = 0;
  // Set once StopRequested was received.
  std::optional<TimePoint> drain_deadline_;
  bool is_drained_ = false;
  Status last_sent_status_;
  TimePoint status_sent_at_{};
  // Valid during Handle() only.
  TimePoint now_{};
  std::vector<AdmissionAction> actions_;
};

}  // namespace carawayrelay

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
#include "process/gate/gate_event.h"

namespace carawayrelay {

// All decisions of an agent: which work runs on the backend server, and what
// the entries are told. Its concurrency window is authoritative over all
// entries together.
class Gate {
 public:
  static constexpr std::chrono::milliseconds kTickInterval{100};
  // Least time between Status messages for changes of load.
  static constexpr std::chrono::milliseconds kStatusMinInterval{100};
  static constexpr std::chrono::milliseconds kStatusMaxInterval{1000};

  struct Options {
    std::string zone;
    // Routes of the backend server.
    std::vector<std::string> routes;
    ConcurrencyWindow::Limits window;
    // Online work that still runs so long after a stop request is broken off.
    std::chrono::milliseconds drain_limit{30000};
  };

  Gate(Options options, TimePoint now);

  std::vector<GateAction> Handle(GateEvent event, TimePoint now);

  ConfigVersion config_version() const;
  int window() const { return window_.size(); }

 private:
  using AttemptKey = EndedAttempts::Key;

  enum class CallState {
    kWaiting,     // online work for which a batch call is being cancelled
    kRunning,     // the engine call began
    kCancelling,  // the engine call is being cancelled and still takes room
  };

  struct Call {
    AttemptKey key;
    bool is_batch = false;
    CallState state = CallState::kWaiting;
    // False once the entry has its answer or does not wait for one.
    bool wants_answer = true;
    bool is_stream = false;
    bool is_admitted = false;
    TimePoint started;
    std::uint64_t parts = 0;
    // Set while the call waits.
    std::optional<EngineCall> request;
  };
  using Calls = std::map<CallId, Call>;

  struct Peer {
    LinkClass link_class = LinkClass::kOnline;
  };

  void On(LinkUp& event);
  void On(LinkMessage& event);
  void On(LinkDown& event);
  void On(EngineStarted& event);
  void On(EnginePart& event);
  void On(EngineEnd& event);
  void On(EngineFailed& event);
  void On(EngineCancelled& event);
  void On(LoadReport& event);
  static void On(Tick& event) {}
  void On(StopRequested& event);

  void OnSubmit(ConnectionId connection, Submit& submit);
  void OnCancel(ConnectionId connection, const Cancel& cancel);
  void OnConfigUpdate(ConnectionId connection, ConfigUpdate& update);

  bool IsZoneOut() const;

  // Brings running work in line with the window: starts waiting online work,
  // cancels batch work that it needs, and refuses what does not fit.
  void Settle();
  void Start(Call& call);
  void CancelRunning(Call& call);
  bool CancelYoungestBatch();
  void CancelAllBatch();
  void BreakOffOverdue();
  // Forgets a call that has ended.
  void Erase(Calls::iterator it);

  void Answer(Call& call, Refusal refusal);
  void Refuse(const AttemptKey& key, Refusal refusal);
  void Send(ConnectionId connection, Message message);
  void SendConfig(ConnectionId connection);
  void SendHints();
  Status MakeStatus() const;

  int running() const { return running_online_ + running_batch_; }
  int waiting() const { return static_cast<int>(waiting_.size()); }

  Options options_;
  ConcurrencyWindow window_;
  FenceTracker fences_;
  BatchCapacityShares shares_;
  ConfigPtr config_;
  std::map<ConnectionId, Peer> peers_;
  Calls calls_;
  std::map<AttemptKey, CallId> attempts_;
  EndedAttempts ended_;
  std::deque<CallId> waiting_;
  std::uint64_t next_call_ = 1;
  // Calls in the states kRunning and kCancelling.
  int running_online_ = 0;
  int running_batch_ = 0;
  // Calls in state kCancelling, which will free their room.
  int cancelling_ = 0;
  std::optional<TimePoint> drain_deadline_;
  bool is_drained_ = false;
  Status sent_status_;
  TimePoint status_sent_at_{};
  // Valid during Handle() only.
  TimePoint now_{};
  std::vector<GateAction> actions_;
};

}  // namespace carawayrelay

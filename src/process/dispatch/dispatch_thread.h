#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "carawayrelay/request.h"
#include "process/dispatch/client_responses.h"
#include "process/dispatch/dispatch_event.h"
#include "process/dispatch/dispatcher.h"
#include "process/transport/link_thread.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// An event for the dispatcher, with the exchange to answer when it comes from
// a caller.
struct DispatchInput {
  DispatchEvent event;
  HttpExchangePtr exchange;
};

// The thread that owns the dispatcher and performs its actions.
class DispatchThread {
 public:
  using IntentAction =
      std::variant<RecordIntent, CompleteIntent, ReleaseIntent>;

  // Duties of other threads. All run on the dispatch thread and must not block
  // for long. Unset ones get the behaviour that is given here.
  struct Hooks {
    // Hands an intent to the thread that writes the rows and returns false
    // when it cannot be taken. Unset: every intent fails.
    std::function<bool(IntentAction)> perform_intent;
    // Hands a configuration of another process to the thread that checks it.
    // Unset: it is checked on the dispatch thread.
    std::function<void(ConfigUpdate)> propose_config;
    // Called regularly with what the limits thread must know.
    std::function<void(const std::vector<AcknowledgedNodes>&)>
        report_acknowledged_fences;
    // Called for each finished request, for metrics.
    std::function<void(const RequestObserved&)> request_finished;
    // Called after each version that took effect.
    std::function<void(const ConfigPtr&)> config_adopted;
  };

  DispatchThread(Dispatcher::Options options, Hooks hooks);
  ~DispatchThread();

  // Set the link before Start(); it must outlive the thread.
  void Start(LinkThread& link);
  // Returns false when the ring is full; `input` is then untouched.
  bool TryPush(DispatchInput& input) { return ring_.TryPush(input); }
  // Waits for room.
  void Push(DispatchEvent event) { ring_.Push({.event = std::move(event)}); }
  const std::atomic<bool>& is_ready() const { return is_ready_; }
  // Waits until no request is left after StopRequested.
  void WaitDrained();
  // Ends and joins the thread and closes the connections of its callers.
  void Stop();

 private:
  // Requests and frames that wait for the dispatcher; about 50 ms of its work.
  static constexpr size_t kRingCapacity = 8192;

  void Run();
  void HandleInput(DispatchInput input);
  void Handle(DispatchEvent event);
  void PollDisconnects();
  TimePoint NextWake() const;

  void Perform(SendMessage& action);
  void Perform(CloseConnection& action);
  void Perform(SendResponse& action);
  void Perform(SendModels& action);
  void Perform(ForwardPart& action);
  void Perform(FinishStream& action);
  void Perform(AbortStream& action);
  void Perform(Refuse& action);
  void Perform(RecordIntent& action);
  void Perform(CompleteIntent& action);
  void Perform(ReleaseIntent& action);
  void Perform(ProposeConfig& action);
  void Perform(ReportReady& action);
  void Perform(Drained& action);
  void Perform(ReportAcknowledged& action);
  void Perform(RequestObserved& action);

  Hooks hooks_;
  Dispatcher dispatcher_;
  ClientResponses responses_;
  Ring<DispatchInput> ring_{kRingCapacity};
  LinkThread* link_ = nullptr;
  // Events that arose while an action was performed.
  std::deque<DispatchEvent> local_events_;
  TimePoint next_disconnect_poll_;
  std::atomic<bool> is_ready_ = false;
  std::mutex drained_mutex_;
  std::condition_variable drained_changed_;
  bool is_drained_ = false;
  std::thread thread_;
};

}  // namespace carawayrelay

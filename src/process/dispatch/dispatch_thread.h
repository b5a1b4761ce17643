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

// An event for the dispatcher. `exchange` is set for a request of a client; the
// response is sent on it.
struct DispatchInput {
  DispatchEvent event;
  HttpExchangePtr exchange;
};

// Owns the dispatcher and the thread that runs it, and performs its actions.
class DispatchThread {
 public:
  using IntentAction =
      std::variant<RecordIntent, CompleteIntent, ReleaseIntent>;

  // Callbacks that pass work to other threads. They run on the dispatch thread
  // and must not block for long. A callback that is not set is skipped, unless
  // another fallback is documented here.
  struct Hooks {
    // Passes an intent to the thread that writes the intent rows. Returns false
    // when that thread cannot accept it. Fallback: every RecordIntent fails.
    std::function<bool(IntentAction)> perform_intent;
    // Passes a configuration received from another process to the thread that
    // validates it. Fallback: it is validated on the dispatch thread.
    std::function<void(ConfigUpdate)> propose_config;
    // Passes the nodes that acknowledged the fences of the held limit leases to
    // the limits thread. Called periodically.
    std::function<void(const std::vector<AcknowledgedNodes>&)>
        report_acknowledged_fences;
    // Called for each finished request, for metrics and traces.
    std::function<void(const RequestObserved&)> request_finished;
    // Called after each configuration version that took effect.
    std::function<void(const ConfigPtr&)> config_adopted;
  };

  DispatchThread(Dispatcher::Options options, Hooks hooks);
  ~DispatchThread();

  // Starts the thread. `link` must outlive it.
  void Start(LinkThread& link);
  // Returns false and leaves `input` unchanged when the ring is full.
  bool TryPush(DispatchInput& input) { return ring_.TryPush(input); }
  // Blocks while the ring is full.
  void Push(DispatchEvent event) { ring_.Push({.event = std::move(event)}); }
  const std::atomic<bool>& is_ready() const { return is_ready_; }
  // Blocks until StopRequested was handled and all active requests have ended.
  void WaitDrained();
  // Stops and joins the thread and closes the connections of its clients.
  void Stop();

 private:
  // Events queued for the dispatcher; about 50 ms of its work.
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
  // Events raised while performing actions, handled before the next input.
  std::deque<DispatchEvent> local_events_;
  TimePoint next_disconnect_poll_;
  std::atomic<bool> is_ready_ = false;
  std::mutex drained_mutex_;
  std::condition_variable drained_changed_;
  bool is_drained_ = false;
  std::thread thread_;
};

}  // namespace carawayrelay

#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "carawayrelay/request.h"
#include "process/agent/admission_controller.h"
#include "process/agent/agent_settings.h"
#include "process/agent/backend_client.h"
#include "process/agent/load_poller.h"
#include "process/dispatch/call_spans.h"
#include "process/telemetry/telemetry_thread.h"
#include "process/transport/link_thread.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// Owns the threads of an agent and the rings that join them: the link thread
// (connections from entries), the event loop thread (AdmissionController), the
// backend client thread (calls to the backend server) and, for a model backend
// server, the load poller thread.
class AgentProcess {
 public:
  // Starts the threads. Fails with the errors of TelemetryThread::Make,
  // BackendClient::Make, LinkThread::Make and LoadPoller::Make.
  static Result<std::unique_ptr<AgentProcess>> Make(AgentSettings settings);
  // Stops all threads without draining; calls in progress are aborted.
  ~AgentProcess();

  // Begins the graceful shutdown: refuses new requests, cancels batch calls,
  // whose items go back to the entries, and lets online calls finish within
  // AgentSettings::drain_limit. Blocks while the event ring is full.
  void Drain();
  // Blocks until the graceful shutdown is complete.
  void Wait();

 private:
  explicit AgentProcess(AgentSettings settings);

  Result<void> Start();
  void RunEventLoop();
  // Returns true when the action reports that the shutdown is complete.
  bool Perform(AdmissionAction& action);
  // Runs on the link thread. Returns false, with `event` untouched, when the
  // event ring is full.
  bool DeliverLinkEvent(LinkEvent& event);
  void StopThreads();
  void BeginSpan(const BackendCall& call);
  void EndSpan(const BackendEvent& event);

  AgentSettings settings_;
  std::unique_ptr<TelemetryThread> telemetry_;
  // Guards spans_: spans begin on the event loop thread and end on the backend
  // client thread.
  std::mutex spans_mutex_;
  CallSpans spans_;
  Ring<AdmissionEvent> events_;
  std::unique_ptr<LinkThread> link_;
  std::unique_ptr<BackendClient> backend_;
  std::unique_ptr<LoadPoller> load_poller_;
  std::thread event_loop_thread_;
};

// Runs an agent until SIGTERM or SIGINT, then shuts it down gracefully. Returns
// the exit status of the process. Blocks both signals in the calling thread.
int RunAgent(const std::string& settings_path);

}  // namespace carawayrelay

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

// The threads of an agent and the rings between them: link, gate, engine and,
// beside a model engine, load.
class AgentProcess {
 public:
  // Starts the threads. Fails like LinkThread::Make and BackendClient::Make.
  static Result<std::unique_ptr<AgentProcess>> Make(AgentSettings settings);
  // Stops at once; running calls are broken off.
  ~AgentProcess();

  // Begins a graceful stop: refuses new work, hands batch work back and
  // finishes online work within the drain time limit.
  void Drain();
  // Waits for the end of the graceful stop.
  void Wait();

 private:
  explicit AgentProcess(AgentSettings settings);

  Result<void> Start();
  void RunEventLoop();
  // Returns true when the gate has drained.
  bool Perform(AdmissionAction& action);
  bool DeliverLinkEvent(LinkEvent& event);
  void StopThreads();
  void BeginSpan(const BackendCall& call);
  void EndSpan(const BackendEvent& event);

  AgentSettings settings_;
  std::unique_ptr<TelemetryThread> telemetry_;
  // Calls begin on the gate thread and end on the engine thread.
  std::mutex spans_mutex_;
  CallSpans spans_;
  Ring<AdmissionEvent> events_;
  std::unique_ptr<LinkThread> link_;
  std::unique_ptr<BackendClient> backend_;
  std::unique_ptr<LoadPoller> load_poller_;
  std::thread event_loop_thread_;
};

// Runs an agent until SIGTERM or SIGINT and its graceful stop. Returns the exit
// status of the process. Blocks both signals in the calling thread.
int RunAgent(const std::string& settings_path);

}  // namespace carawayrelay

#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "carawayrelay/request.h"
#include "process/dispatch/call_spans.h"
#include "process/gate/agent_settings.h"
#include "process/gate/engine_client.h"
#include "process/gate/gate.h"
#include "process/gate/load_watch.h"
#include "process/telemetry/telemetry_thread.h"
#include "process/transport/link_thread.h"
#include "process/transport/ring.h"

namespace carawayrelay {

// The threads of an agent and the rings between them: link, gate, engine and,
// beside a model engine, load.
class AgentProcess {
 public:
  // Starts the threads. Fails like LinkThread::Make and EngineClient::Make.
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
  void RunGate();
  // Returns true when the gate has drained.
  bool Perform(GateAction& action);
  bool DeliverLinkEvent(LinkEvent& event);
  void StopThreads();
  void BeginSpan(const EngineCall& call);
  void EndSpan(const EngineEvent& event);

  AgentSettings settings_;
  std::unique_ptr<TelemetryThread> telemetry_;
  // Calls begin on the gate thread and end on the engine thread.
  std::mutex spans_mutex_;
  CallSpans spans_;
  Ring<GateEvent> events_;
  std::unique_ptr<LinkThread> link_;
  std::unique_ptr<EngineClient> engine_;
  std::unique_ptr<LoadWatch> load_;
  std::thread gate_thread_;
};

// Runs an agent until SIGTERM or SIGINT and its graceful stop. Returns the exit
// status of the process. Blocks both signals in the calling thread.
int RunAgent(const std::string& settings_path);

}  // namespace carawayrelay

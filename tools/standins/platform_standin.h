#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/event_log.h"
#include "standins/fault_plan.h"
#include "standins/row_store.h"
#include "standins/standin_server.h"
#include "standins/trace_store.h"

namespace carawayrelay::tools {

// Simulates the HTTP interface of the platform's store, with injected faults,
// and collects traces. Runs on the thread of StandinServer::Run().
class PlatformStandin {
 public:
  struct Options {
    FaultPlan::Options limits;
    // Delay after which a table set by a control request becomes visible.
    std::chrono::milliseconds entries_lag{500};
  };

  PlatformStandin(const Options& options,
                  const EventLog& log,
                  StandinServer& server);

  void Handle(HttpCall call);

 private:
  void HandleControl(const HttpCall& call);
  void HandleTraces(const HttpCall& call);
  // Replaces all rows of a table by those of the object `rows`.
  void SetTable(const std::string& table, const nlohmann::json& rows);
  void ServeStore(HttpCall call, const Serve& serve);
  // Responds to a request for changes once there are some, its wait time is
  // over at `end`, or the client is disconnected. Other requests never wait.
  void RespondToWatch(HttpCall call, const Serve& serve, TimePoint end);
  void SendStoreResponse(const HttpCall& call, const Serve& serve);
  // Applies the request to the store and writes its effects to the history.
  RowStore::Response ExecuteStoreCall(const HttpRequest& request);

  EventLog log_;
  StandinServer& server_;
  FaultPlan faults_;
  const std::chrono::milliseconds entries_lag_;
  RowStore store_;
  TraceStore traces_;
};

}  // namespace carawayrelay::tools

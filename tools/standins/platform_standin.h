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

// The platform's store as its HTTP interface shows it, with faults, and a
// collector of traces. Runs on the thread of StandinServer::Run().
class PlatformStandin {
 public:
  struct Options {
    FaultPlan::Options limits;
    // Changes of tables by control requests become visible after this time.
    std::chrono::milliseconds entries_lag{500};
  };

  PlatformStandin(const Options& options,
                  const EventLog& log,
                  StandinServer& server);

  void Handle(HttpCall call);

 private:
  void HandleControl(const HttpCall& call);
  void HandleTraces(const HttpCall& call);
  // Makes a table hold exactly the rows of the object `rows`.
  void SetTable(const std::string& table, const nlohmann::json& rows);
  void ServeStore(HttpCall call, const Serve& serve);
  // Answers a call for changes once there are some or its wait is over.
  void RespondToWatch(HttpCall call, const Serve& serve, TimePoint end);
  void SendStoreResponse(const HttpCall& call, const Serve& serve);
  RowStore::Response ExecuteStoreCall(const HttpRequest& request);

  EventLog log_;
  StandinServer& server_;
  FaultPlan faults_;
  const std::chrono::milliseconds entries_lag_;
  RowStore store_;
  TraceStore traces_;
};

}  // namespace carawayrelay::tools

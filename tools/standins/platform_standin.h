#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/event_log.h"
#include "standins/fault_plan.h"
#include "standins/lagged.h"
#include "standins/platform_store.h"
#include "standins/standin_server.h"
#include "standins/trace_store.h"

namespace carawayrelay::tools {

// The platform as its HTTP interface shows it: table service, object store,
// list of VMs and trace collector. Runs on the thread of StandinServer::Run().
class PlatformStandin {
 public:
  struct Options {
    FaultPlan::Options limits;
    std::chrono::milliseconds vms_lag{500};
  };

  PlatformStandin(const Options& options,
                  const EventLog& log,
                  StandinServer& server);

  void Handle(HttpCall call);

 private:
  struct Response {
    int status = 200;
    std::string body;
    HttpHeaders headers;
  };

  void HandleControl(const HttpCall& call);
  void HandleTraces(const HttpCall& call);
  void ServeStore(HttpCall call, const Serve& serve);
  Response Perform(const HttpRequest& request);
  Response PerformOnRow(const HttpRequest& request, const std::string& name);
  Response WriteRow(const HttpRequest& request,
                    const std::string& table,
                    const std::string& key);
  Response DeleteRow(const HttpRequest& request,
                     const std::string& table,
                     const std::string& key);
  Response ListRows(const HttpRequest& request, const std::string& table);
  Response PerformOnObject(const HttpRequest& request, const std::string& name);
  Response PerformOnVms(const HttpRequest& request);

  EventLog log_;
  StandinServer& server_;
  FaultPlan faults_;
  PlatformStore store_;
  TraceStore traces_;
  Lagged<nlohmann::json> vms_;
};

}  // namespace carawayrelay::tools

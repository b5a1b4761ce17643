#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "standins/event_log.h"
#include "standins/standin_server.h"

namespace carawayrelay::tools {

// A plain service. Echoes any request; POST /orders must not be repeated, and
// each execution is logged. Runs on the thread of StandinServer::Run().
class ServiceStandin {
 public:
  struct Options {
    // Time that each request takes.
    std::chrono::milliseconds work_time{2};
  };

  ServiceStandin(const Options& options,
                 const EventLog& log,
                 StandinServer& server);

  void Handle(HttpCall call);

 private:
  void HandleControl(const HttpCall& call);
  void Execute(const HttpCall& call);

  EventLog log_;
  StandinServer& server_;
  std::chrono::milliseconds work_time_;
  int lose_responses_ = 0;
  std::int64_t requests_ = 0;
  std::int64_t orders_ = 0;
};

}  // namespace carawayrelay::tools

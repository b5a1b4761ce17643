#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "standins/event_log.h"
#include "standins/standin_server.h"

namespace carawayrelay::tools {

// Simulates a plain HTTP service that echoes each request. Every execution is
// written to the history, so that a repeated `POST /orders`, which must run
// only once, is detected. Runs on the thread of StandinServer::Run().
class ServiceStandin {
 public:
  struct Options {
    // Time from the arrival of a request to its execution and response.
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
  // Requests whose response is still to be lost; set by a control request.
  int lose_responses_ = 0;
  std::int64_t requests_ = 0;
  std::int64_t orders_ = 0;
};

}  // namespace carawayrelay::tools

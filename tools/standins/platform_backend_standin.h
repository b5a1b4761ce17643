#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/event_log.h"
#include "standins/standin_server.h"

namespace carawayrelay::tools {

// A backend server of the users' platform as its HTTP interface shows it: runs
// with numbered events, resumption, reserved slots and a report. The body of a
// request is a JSON object with `kind` ("stream", "lookup" or "order") and
// `events`. Runs on the thread of StandinServer::Run().
class PlatformBackendStandin {
 public:
  struct Options {
    std::string id;  // of this start
    int slots = 8;
    std::chrono::milliseconds step{20};  // between two events
  };

  PlatformBackendStandin(const Options& options,
                         const EventLog& log,
                         StandinServer& server);

  void Handle(const HttpCall& call);
  // Text of event `number` (from 1) of the run with the request id `id`.
  static std::string EventText(const std::string& id, int number);

 private:
  struct Run {
    HttpExchangePtr exchange;
    std::string id;
    int sent = 0;
    int events = 0;
  };

  void HandleControl(const HttpCall& call);
  void HandleReserve(const HttpCall& call);
  void HandleRun(const HttpCall& call);
  void Reject(const HttpCall& call, int status, const char* reason);
  HttpHeaders ResponseHeaders(const std::string& id) const;
  void SendNextEvent(const std::shared_ptr<Run>& run);
  void FinishRun(const Run& run, const char* event);
  int UsedSlots();

  Options options_;
  EventLog log_;
  StandinServer& server_;
  int running_ = 0;
  std::uint64_t last_reservation_ = 0;
  // Reserved slots and when they lapse.
  std::map<std::string, TimePoint> reservations_;
  int break_streams_ = 0;
  int fail_runs_ = 0;
};

}  // namespace carawayrelay::tools

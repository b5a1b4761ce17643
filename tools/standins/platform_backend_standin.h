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

// Simulates the HTTP interface of a backend server of the users' platform: runs
// with numbered events, resumption of runs, reservations of slots, and a load
// report. The body of a request is a JSON object with `kind` ("stream",
// "lookup" or "order") and `events`, the number of events. Runs on the thread
// of StandinServer::Run().
class PlatformBackendStandin {
 public:
  struct Options {
    // Identifies this instance of the backend server; a restarted one has a new
    // id.
    std::string id;
    int slots = 8;
    // Time between two events of a run.
    std::chrono::milliseconds step{20};
  };

  PlatformBackendStandin(const Options& options,
                         const EventLog& log,
                         StandinServer& server);

  void Handle(const HttpCall& call);
  // Returns the text of event `number` (from 1) of the run with the request id
  // `id`.
  static std::string EventText(const std::string& id, int number);

 private:
  struct Run {
    HttpExchangePtr exchange;
    std::string id;
    // Number of the last event that was sent.
    int sent = 0;
    // Number of the run's last event.
    int events = 0;
  };

  void HandleControl(const HttpCall& call);
  // Reserves a slot for one request.
  void HandleReserve(const HttpCall& call);
  void HandleRun(const HttpCall& call);
  // Responds with the header that says that the request did not run.
  void Reject(const HttpCall& call, int status, const char* reason);
  HttpHeaders ResponseHeaders(const std::string& id) const;
  void SendNextEvent(const std::shared_ptr<Run>& run);
  // Frees the slot and writes `event` to the history.
  void FinishRun(const Run& run, const char* event);
  // Removes expired reservations, and returns the number of running requests
  // and reservations.
  int UsedSlots();

  Options options_;
  EventLog log_;
  StandinServer& server_;
  int running_ = 0;
  std::uint64_t last_reservation_ = 0;
  // Time of expiry by reservation id.
  std::map<std::string, TimePoint> reservations_;
  // Numbers of faults that are still to be injected; set by control requests.
  int break_streams_ = 0;
  int fail_runs_ = 0;
};

}  // namespace carawayrelay::tools

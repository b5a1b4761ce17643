#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "version/findings.h"

namespace carawayrelay {

// Settings of the frontend role, which serves clients on the users' platform.
struct FrontendSettings {
  std::string node;
  std::string zone;
  std::string listen_clients;  // "IP:port"
  // Readiness and metrics; "IP:port".
  std::string listen_ready;
  // Metrics alone; "IP:port", empty for none.
  std::string listen_metrics;
  // Collector of spans; "http://IP:port", empty for none.
  std::string traces_url;
  std::string store_address;  // "IP:port"
  // A withdrawn key must be refused after this time everywhere.
  std::chrono::milliseconds key_revocation{5000};
  // The process is killed so long after the stop signal.
  std::chrono::milliseconds stop_grace{8000};
};

// Settings of the worker role, which runs batch items on the backend server of
// its VM.
struct WorkerSettings {
  std::string node;
  std::string zone;
  std::string backend_address;  // "IP:port" of the backend server
  std::string store_address;    // "IP:port"
  std::string listen_metrics;   // "IP:port"; empty for none
  // Slots of the backend server that batch items leave free while it is busy
  // with online requests.
  int reserved_slots = 1;
  std::chrono::milliseconds stop_grace{8000};
};

// Return nothing when there are findings.
std::optional<FrontendSettings> ParseFrontendSettings(const std::string& text,
                                                      Findings& findings);
std::optional<WorkerSettings> ParseWorkerSettings(const std::string& text,
                                                  Findings& findings);

}  // namespace carawayrelay

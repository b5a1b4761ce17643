#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"
#include "process/agent/backend_response.h"

namespace carawayrelay {

// Settings of an agent process, read from its JSON file.
struct AgentSettings {
  std::string node;
  std::string zone;
  std::string listen_address;  // "IP:port" that entries connect to
  BackendKind backend_kind = BackendKind::kModel;
  std::string backend_url;  // "http://IP:port"
  // Names of the routes that the backend server serves.
  std::vector<std::string> routes;
  ConcurrencyWindow::Limits window;
  // True when the backend server checks fencing numbers and responds with
  // status 409 to a stale one.
  bool backend_checks_fences = false;
  // Time for online calls to finish in a graceful shutdown; calls that still
  // run then are aborted.
  std::chrono::milliseconds drain_limit{30000};
  // Time between two polls of the load report of a model backend server.
  std::chrono::milliseconds load_interval{1000};
  // "http://IP:port" of the trace collector; empty to export no spans.
  std::string traces_url;
};

// Parses and checks the settings. Appends every problem with its JSON path to
// `findings`, and returns std::nullopt if there is any. Example:
//
// {"node": "a1", "zone": "z1", "listen": "127.0.0.1:7101",
//  "backend": {"kind": "model", "url": "http://127.0.0.1:9001",
//              "routes": ["m"], "checks_fences": false,
//              "load_interval_ms": 1000},
//  "window": {"max": 32, "cold": 4, "slow_first_token_ms": 1600},
//  "drain_limit_ms": 30000, "traces_url": "http://127.0.0.1:4318"}
std::optional<AgentSettings> ParseAgentSettings(const std::string& json,
                                                Findings& findings);

}  // namespace carawayrelay

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/connection.h"
#include "carawayrelay/version.h"
#include "process/agent/backend_response.h"

namespace carawayrelay {

// Settings of an agent process.
struct AgentSettings {
  std::string node;
  std::string zone;
  std::string listen_address;  // "IP:port" for the connections of entries
  BackendKind backend_kind = BackendKind::kModel;
  std::string backend_url;  // "http://IP:port"
  // Routes that the backend server serves.
  std::vector<std::string> routes;
  ConcurrencyWindow::Limits window;
  // The engine answers 409 to a stale fencing number.
  bool backend_checks_fences = false;
  std::chrono::milliseconds drain_limit{30000};
  std::chrono::milliseconds load_interval{1000};
  // "http://IP:port" of the collector of spans, or empty.
  std::string traces_url;
};

// Parses and checks the settings. Appends every problem with its JSON path to
// `findings` and returns nothing when there is at least one.
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

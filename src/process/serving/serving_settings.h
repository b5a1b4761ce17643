#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "process/rollout/rollout_settings.h"
#include "process/transport/memory_limits.h"
#include "version/findings.h"

namespace carawayrelay {

// Largest body that the client port of a frontend accepts.
inline constexpr size_t kMaxClientBodyBytes = size_t{8} << 20;

// Settings of the frontend role, which serves online requests and the batch job
// API to clients.
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
  // Datagrams of other frontends; "IP:port", reachable from them.
  std::string listen_peers;
  std::string store_address;  // "IP:port"
  // Processor cores of this VM. Frontends hold rates in proportion to them.
  double cpu_cores = 1;
  // Whether frontends share what they learn of failing backend servers, and
  // begin slowly with those that have just started or failed.
  bool shares_health = false;
  MemoryLimits memory = DefaultMemoryLimits(kMaxClientBodyBytes);
  // Time after which every frontend must refuse a revoked API key.
  std::chrono::milliseconds key_revocation{5000};
  // Time between the stop signal and the kill of the process.
  std::chrono::milliseconds stop_grace{8000};
  // Not set: there are no rollouts, and versions are not told apart.
  std::optional<RolloutSettings> rollout;
};

// Settings of the worker role, which runs batch items on the backend server of
// its own VM.
struct WorkerSettings {
  std::string node;
  std::string zone;
  std::string backend_address;  // "IP:port" of the backend server
  std::string store_address;    // "IP:port"
  std::string listen_metrics;   // "IP:port"; empty for none
  // Slots of the backend server that batch items leave free while it is busy
  // with online requests.
  int reserved_slots = 1;
  MemoryLimits memory = DefaultMemoryLimits(0);
  std::chrono::milliseconds stop_grace{8000};
  std::optional<RolloutSettings> rollout;  // as of the frontends
};

// Return std::nullopt and add to `findings` if the settings are invalid.
std::optional<FrontendSettings> ParseFrontendSettings(const std::string& text,
                                                      Findings& findings);
std::optional<WorkerSettings> ParseWorkerSettings(const std::string& text,
                                                  Findings& findings);

}  // namespace carawayrelay

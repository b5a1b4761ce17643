#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/version.h"
#include "process/dispatch/dispatcher.h"
#include "process/telemetry/log.h"
#include "process/transport/memory_limits.h"

namespace carawayrelay {

// Settings of an entry process, read from its JSON file.
struct EntrySettings {
  std::string node;
  std::string zone;
  std::string listen_callers;  // "IP:port" for clients
  std::string listen_admin;    // "IP:port" for operators
  std::string listen_links;    // "IP:port" for connections from other entries
  std::string platform_url;    // "http://IP:port" of the store
  // "http://IP:port" of the trace collector; empty to export no spans.
  std::string traces_url;
  // "IP:port" of agents to connect to, also before the store has supplied the
  // list of VMs.
  std::vector<std::string> seed_agents;
  // "IP:port" of other entries to connect to, also before the store has
  // supplied the list of VMs.
  std::vector<std::string> seed_peers;
  LogLevel log_level = LogLevel::kInfo;
  // Limit for the body of an HTTP request, on the client and the admin port.
  size_t max_body_bytes = size_t{8} << 20;
  MemoryLimits memory = DefaultMemoryLimits(size_t{8} << 20);
  Dispatcher::Options dispatcher;
};

// Parses and checks the settings. Appends every problem with its JSON path to
// `findings`, and returns std::nullopt if there is any.
std::optional<EntrySettings> ParseEntrySettings(const std::string& json,
                                                Findings& findings);

}  // namespace carawayrelay

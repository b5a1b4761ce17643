#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "carawayrelay/version.h"
#include "process/dispatch/dispatcher.h"
#include "process/telemetry/log.h"

namespace carawayrelay {

// Settings of an entry process, from its JSON file.
struct EntrySettings {
  std::string node;
  std::string zone;
  // "IP:port" each.
  std::string listen_callers;
  std::string listen_admin;
  std::string listen_links;
  std::string platform_url;  // "http://IP:port"
  // "http://IP:port" of the collector of spans, or empty.
  std::string traces_url;
  std::vector<std::string> seed_agents;
  std::vector<std::string> seed_peers;
  LogLevel log_level = LogLevel::kInfo;
  size_t max_body_bytes = size_t{8} << 20;
  Dispatcher::Options dispatcher;
};

// Parses and checks the settings. Appends every problem with its JSON path to
// `findings` and returns nothing when there is at least one.
std::optional<EntrySettings> ParseEntrySettings(const std::string& json,
                                                Findings& findings);

}  // namespace carawayrelay

#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "harness/fleet.h"

namespace carawayrelay::tools {

// Returns "127.0.0.1:<port>".
std::string LoopbackAddress(std::uint16_t port);

// Contents of the settings file of an agent or an entry.
nlohmann::json AgentSettingsJson(const BackendPlan& plan,
                                 const BackendPorts& ports,
                                 const std::string& platform_url);
nlohmann::json EntrySettingsJson(const EntryPlan& plan,
                                 const EntryPorts& ports,
                                 const std::string& platform_url);

}  // namespace carawayrelay::tools

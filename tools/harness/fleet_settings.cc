#include "harness/fleet_settings.h"

namespace carawayrelay::tools {

using nlohmann::json;

std::string LoopbackAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

json AgentSettingsJson(const BackendPlan& plan,
                       const BackendPorts& ports,
                       const std::string& platform_url) {
  return {{"node", plan.node},
          {"traces_url", platform_url},
          {"zone", plan.zone},
          {"listen", LoopbackAddress(ports.link)},
          {"backend",
           {{"kind", plan.kind == RouteKind::kModel ? "model" : "service"},
            {"url", "http://" + LoopbackAddress(ports.backend)},
            {"routes", plan.routes}}},
          {"window",
           {{"max", plan.max_window},
            {"cold", plan.cold_window},
            {"slow_first_token_ms", plan.slow_first_token.count()}}}};
}

json EntrySettingsJson(const EntryPlan& plan,
                       const EntryPorts& ports,
                       const std::string& platform_url) {
  json settings = {{"node", plan.node},
                   {"zone", plan.zone},
                   {"listen_callers", LoopbackAddress(ports.clients)},
                   {"listen_admin", LoopbackAddress(ports.admin)},
                   {"listen_links", LoopbackAddress(ports.link)},
                   {"platform_url", platform_url},
                   {"traces_url", platform_url}};
  if (plan.memory_megabytes) {
    settings["limits"] = {{"memory_mb", *plan.memory_megabytes}};
  }
  return settings;
}

}  // namespace carawayrelay::tools

#include "process/agent/agent_settings.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <string_view>

#include "process/transport/endpoint.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view kUrlScheme = "http://";
constexpr double kMaxWindow = 4096;
constexpr double kDefaultWindow = 16;
constexpr double kDefaultCold = 2;
constexpr double kMaxSlowMs = 600'000;
constexpr double kDefaultSlowMs = 1600;
constexpr double kMaxDrainMs = 3'600'000;
constexpr double kDefaultDrainMs = 30'000;
constexpr double kMinLoadIntervalMs = 10;
constexpr double kMaxLoadIntervalMs = 60'000;
constexpr double kDefaultLoadIntervalMs = 1000;

milliseconds ReadTime(JsonReader& reader,
                      const std::string& name,
                      double min,
                      double max,
                      double fallback) {
  const double value = reader.OptionalNumber(name, min, max, fallback);
  return milliseconds(std::llround(value));
}

int ReadCount(JsonReader& reader,
              const std::string& name,
              double fallback,
              Findings& findings) {
  const double value = reader.OptionalNumber(name, 1, kMaxWindow, fallback);
  if (value != std::floor(value)) {
    findings.Add(reader.PathOf(name), "must be a whole number");
  }
  return static_cast<int>(value);
}

void CheckEndpoint(const std::string& address,
                   const std::string& path,
                   Findings& findings) {
  // An empty address is a missing field, which was already reported.
  if (!address.empty() && !ParseEndpoint(address)) {
    findings.Add(path, "must be an IP address and port");
  }
}

void ReadBackend(JsonReader& root,
                 AgentSettings& settings,
                 Findings& findings) {
  const json* backend = root.Find("backend");
  const std::string path = root.PathOf("backend");
  if (backend == nullptr) {
    findings.Add(path, "is required");
    return;
  }
  JsonReader reader(*backend, path, findings);
  settings.backend_kind =
      reader.OptionalChoice("kind", {"model", "service"}, 0) == 0
          ? BackendKind::kModel
          : BackendKind::kService;
  settings.backend_url = reader.RequiredString("url");
  if (settings.backend_url.starts_with(kUrlScheme)) {
    CheckEndpoint(settings.backend_url.substr(kUrlScheme.size()),
                  reader.PathOf("url"), findings);
  } else if (!settings.backend_url.empty()) {
    findings.Add(reader.PathOf("url"), "must be http://IP:port");
  }
  settings.routes = reader.StringList("routes");
  if (settings.routes.empty()) {
    findings.Add(reader.PathOf("routes"), "must name at least one route");
  }
  std::set<std::string> seen;
  for (size_t i = 0; i < settings.routes.size(); ++i) {
    if (!seen.insert(settings.routes[i]).second) {
      findings.Add(reader.PathOf("routes") + "/" + std::to_string(i),
                   "duplicate name '" + settings.routes[i] + "'");
    }
  }
  settings.backend_checks_fences = reader.OptionalBool("checks_fences", false);
  settings.load_interval =
      ReadTime(reader, "load_interval_ms", kMinLoadIntervalMs,
               kMaxLoadIntervalMs, kDefaultLoadIntervalMs);
  reader.CheckUnknownFields();
}

void ReadWindow(JsonReader& root, AgentSettings& settings, Findings& findings) {
  const json* window = root.Find("window");
  const json none = json::object();
  JsonReader reader(window == nullptr ? none : *window, root.PathOf("window"),
                    findings);
  settings.window.max = ReadCount(reader, "max", kDefaultWindow, findings);
  settings.window.cold = ReadCount(reader, "cold", kDefaultCold, findings);
  settings.window.slow_first_token =
      ReadTime(reader, "slow_first_token_ms", 1, kMaxSlowMs, kDefaultSlowMs);
  reader.CheckUnknownFields();
  if (settings.window.cold > settings.window.max) {
    findings.Add(reader.PathOf("cold"), "must not be larger than max");
  }
}

}  // namespace

std::optional<AgentSettings> ParseAgentSettings(const std::string& text,
                                                Findings& findings) {
  const json parsed = json::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    findings.Add("", "not valid JSON");
    return std::nullopt;
  }
  AgentSettings settings;
  JsonReader root(parsed, "", findings);
  settings.node = root.RequiredString("node");
  settings.zone = root.RequiredString("zone");
  settings.traces_url = root.OptionalString("traces_url", "");
  settings.listen_address = root.RequiredString("listen");
  CheckEndpoint(settings.listen_address, root.PathOf("listen"), findings);
  ReadBackend(root, settings, findings);
  ReadWindow(root, settings, findings);
  settings.drain_limit =
      ReadTime(root, "drain_limit_ms", 0, kMaxDrainMs, kDefaultDrainMs);
  root.CheckUnknownFields();
  if (!findings.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace carawayrelay

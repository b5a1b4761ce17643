#include "process/serving/serving_settings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "process/transport/endpoint.h"
#include "version/json_reader.h"

namespace carawayrelay {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr double kMaxMilliseconds = 86400000;
constexpr double kMaxSlots = 10000;
constexpr double kMinCpuCores = 0.001;
constexpr double kMaxCpuCores = 10000;
constexpr std::string_view kSharedHealthFeature = "health";

void CheckAddress(const std::string& address,
                  const std::string& path,
                  Findings& findings) {
  if (address.empty()) {
    return;
  }
  if (const auto endpoint = ParseEndpoint(address); !endpoint) {
    findings.Add(path, endpoint.error().message);
  }
}

std::string ReadAddress(JsonReader& reader,
                        const std::string& name,
                        Findings& findings) {
  std::string address = reader.RequiredString(name);
  CheckAddress(address, reader.PathOf(name), findings);
  return address;
}

std::string ReadOptionalAddress(JsonReader& reader,
                                const std::string& name,
                                Findings& findings) {
  std::string address = reader.OptionalString(name, "");
  CheckAddress(address, reader.PathOf(name), findings);
  return address;
}

milliseconds ReadTime(JsonReader& reader,
                      const std::string& name,
                      milliseconds fallback) {
  return milliseconds(static_cast<milliseconds::rep>(reader.OptionalNumber(
      name, 1, kMaxMilliseconds, static_cast<double>(fallback.count()))));
}

// Whether the list of features that the deployment asks for names this one.
// Names that are not known here belong to other parts of the deployment.
bool HasFeature(JsonReader& reader, std::string_view feature) {
  const std::vector<std::string> features = reader.StringList("features");
  return std::ranges::find(features, feature) != features.end();
}

// Returns nullopt unless all three settings are present: a deployment without
// one of them has no rollouts.
std::optional<RolloutSettings> ReadRollout(JsonReader& reader) {
  constexpr double kMaxSlackRequests = 1e9;
  const bool is_complete = reader.Find("rollout_share") != nullptr &&
                           reader.Find("rollout_slack") != nullptr &&
                           reader.Find("rollout_deadline_ms") != nullptr;
  const RolloutSettings settings{
      .share = reader.OptionalNumber("rollout_share", 0, 1, 0),
      .slack = static_cast<int>(
          reader.OptionalNumber("rollout_slack", 0, kMaxSlackRequests, 0)),
      .deadline = ReadTime(reader, "rollout_deadline_ms", milliseconds(5000))};
  return is_complete ? std::optional(settings) : std::nullopt;
}

}  // namespace

std::optional<FrontendSettings> ParseFrontendSettings(const std::string& text,
                                                      Findings& findings) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  JsonReader reader(root, "", findings);
  FrontendSettings settings;
  settings.node = reader.RequiredString("node");
  settings.zone = reader.RequiredString("zone");
  settings.listen_clients = ReadAddress(reader, "listen_clients", findings);
  settings.listen_ready = ReadAddress(reader, "listen_ready", findings);
  settings.listen_peers = ReadAddress(reader, "listen_peers", findings);
  settings.cpu_cores = reader.OptionalNumber("cpu_cores", kMinCpuCores,
                                             kMaxCpuCores, settings.cpu_cores);
  settings.shares_health = HasFeature(reader, kSharedHealthFeature);
  settings.memory = ReadMemoryLimits(reader, kMaxClientBodyBytes, findings);
  settings.store_address = ReadAddress(reader, "store_address", findings);
  settings.listen_metrics =
      ReadOptionalAddress(reader, "listen_metrics", findings);
  settings.traces_url = reader.OptionalString("traces_url", "");
  settings.key_revocation =
      ReadTime(reader, "key_revocation_ms", settings.key_revocation);
  settings.stop_grace = ReadTime(reader, "stop_grace_ms", settings.stop_grace);
  settings.rollout = ReadRollout(reader);
  reader.CheckUnknownFields();
  if (!findings.empty()) {
    return std::nullopt;
  }
  return settings;
}

std::optional<WorkerSettings> ParseWorkerSettings(const std::string& text,
                                                  Findings& findings) {
  const json root = json::parse(text, nullptr, /*allow_exceptions=*/false);
  JsonReader reader(root, "", findings);
  WorkerSettings settings;
  settings.node = reader.RequiredString("node");
  settings.zone = reader.RequiredString("zone");
  settings.backend_address = ReadAddress(reader, "runner_address", findings);
  settings.store_address = ReadAddress(reader, "store_address", findings);
  settings.listen_metrics =
      ReadOptionalAddress(reader, "listen_metrics", findings);
  settings.memory = ReadMemoryLimits(reader, 0, findings);
  settings.reserved_slots = static_cast<int>(reader.OptionalNumber(
      "reserved_slots", 0, kMaxSlots, settings.reserved_slots));
  settings.stop_grace = ReadTime(reader, "stop_grace_ms", settings.stop_grace);
  settings.rollout = ReadRollout(reader);
  reader.CheckUnknownFields();
  if (!findings.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace carawayrelay

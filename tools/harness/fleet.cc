#include "harness/fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "harness/fleet_settings.h"
#include "harness/free_ports.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;

constexpr char kPlatform[] = "platform";

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string HttpUrl(std::uint16_t port) {
  return "http://" + LoopbackAddress(port);
}

}  // namespace

Result<std::unique_ptr<Fleet>> Fleet::Make(FleetPlan plan,
                                           ProcessGroup& processes,
                                           CurlHttpClient& http,
                                           StopSignal& stop) {
  std::unique_ptr<Fleet> fleet(
      new Fleet(std::move(plan), processes, http, stop));
  const FleetPlan& fleet_plan = fleet->plan_;
  BOOST_OUTCOME_TRY(const std::vector<std::uint16_t> ports,
                    FindFreePorts(1 + 3 * fleet_plan.entries.size() +
                                  2 * fleet_plan.backends.size()));
  auto next = ports.begin();
  fleet->platform_port_ = *next++;
  for (size_t i = 0; i < fleet_plan.entries.size(); ++i) {
    EntryPorts entry;
    entry.clients = *next++;
    entry.admin = *next++;
    entry.link = *next++;
    fleet->entry_ports_.push_back(entry);
  }
  for (size_t i = 0; i < fleet_plan.backends.size(); ++i) {
    BackendPorts backend;
    backend.link = *next++;
    backend.backend = *next++;
    fleet->backend_ports_.push_back(backend);
  }
  return fleet;
}

Fleet::Fleet(FleetPlan plan,
             ProcessGroup& processes,
             CurlHttpClient& http,
             StopSignal& stop)
    : plan_(std::move(plan)), processes_(processes), http_(http), stop_(stop) {}

Result<void> Fleet::Start(const ConfigDocument& config) {
  BOOST_OUTCOME_TRY(StartPlatform());
  BOOST_OUTCOME_TRY(PublishVms({}, {}));
  for (const BackendPlan& backend : plan_.backends) {
    BOOST_OUTCOME_TRY(StartBackend(backend.node));
    BOOST_OUTCOME_TRY(StartAgent(backend.node));
  }
  for (const EntryPlan& entry : plan_.entries) {
    BOOST_OUTCOME_TRY(StartEntry(entry.node));
  }
  if (plan_.entries.empty()) {
    return Success();
  }
  BOOST_OUTCOME_TRY(ApplyConfig(plan_.entries.front().node, config));
  for (const EntryPlan& entry : plan_.entries) {
    BOOST_OUTCOME_TRY(WaitUntilReady(entry.node));
  }
  return Success();
}

Result<void> Fleet::Stop(std::chrono::milliseconds limit) {
  std::vector<std::string> order;
  for (const EntryPlan& entry : plan_.entries) {
    order.push_back(entry.node);
  }
  for (const BackendPlan& backend : plan_.backends) {
    order.push_back(backend.node);
  }
  for (const BackendPlan& backend : plan_.backends) {
    order.push_back(BackendProcess(backend.node));
  }
  order.emplace_back(kPlatform);
  Result<void> outcome = Success();
  for (const std::string& name : order) {
    const Result<void> stopped = StopNamedProcess(name, limit);
    if (!stopped && outcome) {
      outcome = stopped.error();
    }
  }
  return outcome;
}

Result<void> Fleet::StopNamedProcess(const std::string& name,
                                     std::chrono::milliseconds limit) {
  if (!processes_.Signal(name, SIGTERM)) {
    return Success();
  }
  Result<int> status = processes_.WaitForExit(name, limit);
  if (!status) {
    const Error error = status.error();
    BOOST_OUTCOME_TRY(processes_.Signal(name, SIGKILL));
    BOOST_OUTCOME_TRY(processes_.WaitForExit(name, limit));
    return error;
  }
  if (status.value() != 0) {
    return Error{ErrorCode::kInternal, name + " exited with status " +
                                           std::to_string(status.value()) +
                                           ", see " +
                                           processes_.ErrorPath(name)};
  }
  return Success();
}

Result<void> Fleet::StartAndWait(const std::string& name,
                                 const std::vector<std::string>& arguments,
                                 std::uint16_t port) {
  BOOST_OUTCOME_TRY(processes_.Start(name, arguments));
  const bool listens = stop_.PollUntil(
      [&] { return IsListening(port) || !processes_.IsRunning(name); },
      kStartTimeout);
  if (!listens || !processes_.IsRunning(name)) {
    return Error{ErrorCode::kUnavailable,
                 name + " did not start to listen on port " +
                     std::to_string(port) + ", see " +
                     processes_.ErrorPath(name)};
  }
  return Success();
}

Result<void> Fleet::StartStandin(const std::string& subcommand,
                                 const std::string& name,
                                 std::uint16_t port,
                                 const std::vector<std::string>& flags) {
  std::vector<std::string> arguments = {
      plan_.program_directory + "/carawayrelay-standins", subcommand,
      "--listen=" + LoopbackAddress(port), "--name=" + name};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  return StartAndWait(name, arguments, port);
}

Result<void> Fleet::StartRelayProcess(const std::string& subcommand,
                                      const std::string& node,
                                      const json& settings,
                                      std::uint16_t port) {
  const std::string path = processes_.directory() + "/" + node + ".json";
  std::ofstream(path) << settings.dump(2) << '\n';
  return StartAndWait(node,
                      {plan_.program_directory + "/carawayrelay", subcommand,
                       "--settings", path},
                      port);
}

Result<void> Fleet::StartPlatform() {
  return StartStandin(kPlatform, kPlatform, platform_port_,
                      plan_.platform_flags);
}

Result<void> Fleet::StartBackend(const std::string& node) {
  const size_t index = BackendIndex(node);
  const BackendPlan& backend = plan_.backends[index];
  return StartStandin(backend.kind == RouteKind::kModel ? "engine" : "service",
                      BackendProcess(node), backend_ports_[index].backend,
                      backend.standin_flags);
}

Result<void> Fleet::StartAgent(const std::string& node) {
  const size_t index = BackendIndex(node);
  const BackendPorts& ports = backend_ports_[index];
  return StartRelayProcess(
      "agent", node,
      AgentSettingsJson(plan_.backends[index], ports, PlatformUrl()),
      ports.link);
}

Result<void> Fleet::StartEntry(const std::string& node) {
  const size_t index = EntryIndex(node);
  const EntryPorts& ports = entry_ports_[index];
  return StartRelayProcess(
      "entry", node,
      EntrySettingsJson(plan_.entries[index], ports, PlatformUrl()),
      ports.admin);
}

Result<void> Fleet::WaitUntilReady(const std::string& entry) {
  CallSpec spec;
  spec.url = EntryUrl(entry) + "/readyz";
  const bool is_ready = stop_.PollUntil(
      [&] { return http_.Run(spec).http_status == 200; }, kStartTimeout);
  if (!is_ready) {
    return Error{ErrorCode::kUnavailable, entry + " did not become ready"};
  }
  return Success();
}

Result<std::uint64_t> Fleet::ApplyConfig(const std::string& entry,
                                         const ConfigDocument& config) {
  const std::string url = AdminUrl(entry) + "/admin/config";
  BOOST_OUTCOME_TRY(const json current, GetJson(url));
  CallSpec spec;
  spec.method = "POST";
  spec.url = url;
  spec.body = json{{"based_on", current.value("version", 0)},
                   {"document", json::parse(ToJson(config))}}
                  .dump();
  BOOST_OUTCOME_TRY(const json applied, CallJson(spec));
  return applied.value("version", std::uint64_t{0});
}

Result<void> Fleet::PublishVms(const std::vector<std::string>& removed,
                               const std::vector<std::string>& leaving) {
  json vms = json::object();
  const auto add = [&](const std::string& node, const std::string& zone,
                       const char* role, std::uint16_t port) {
    if (!Contains(removed, node)) {
      vms[node] = {{"node", node},
                   {"role", role},
                   {"zone", zone},
                   {"address", LoopbackAddress(port)},
                   {"leaving", Contains(leaving, node)}};
    }
  };
  for (size_t i = 0; i < plan_.entries.size(); ++i) {
    add(plan_.entries[i].node, plan_.entries[i].zone, "entry",
        entry_ports_[i].link);
  }
  for (size_t i = 0; i < plan_.backends.size(); ++i) {
    add(plan_.backends[i].node, plan_.backends[i].zone, "agent",
        backend_ports_[i].link);
  }
  BOOST_OUTCOME_TRY(Control(kPlatform, {{"tables", {{"vms", vms}}}}));
  return Success();
}

Result<json> Fleet::Control(const std::string& standin, const json& fields) {
  CallSpec spec;
  spec.method = "POST";
  spec.url =
      (standin == kPlatform ? PlatformUrl() : BackendUrl(standin)) + "/control";
  spec.body = fields.dump();
  return CallJson(spec);
}

Result<json> Fleet::GetJson(const std::string& url) {
  CallSpec spec;
  spec.url = url;
  return CallJson(spec);
}

Result<json> Fleet::CallJson(const CallSpec& spec) {
  const CallResult result = http_.Run(spec);
  json body = json::parse(result.body, nullptr, false);
  if (result.http_status / 100 != 2 || !body.is_object()) {
    return Error{ErrorCode::kUnavailable,
                 spec.url + ": status " + std::to_string(result.http_status) +
                     " " + result.transport_error + result.body};
  }
  return body;
}

std::string Fleet::PlatformUrl() const {
  return HttpUrl(platform_port_);
}

std::string Fleet::EntryUrl(const std::string& node) const {
  return HttpUrl(entry_ports_[EntryIndex(node)].clients);
}

const EntryPorts& Fleet::PortsOfEntry(const std::string& node) const {
  return entry_ports_[EntryIndex(node)];
}

const BackendPorts& Fleet::PortsOfBackend(const std::string& node) const {
  return backend_ports_[BackendIndex(node)];
}

std::string Fleet::AdminUrl(const std::string& node) const {
  return HttpUrl(entry_ports_[EntryIndex(node)].admin);
}

std::string Fleet::BackendUrl(const std::string& node) const {
  return HttpUrl(backend_ports_[BackendIndex(node)].backend);
}

size_t Fleet::EntryIndex(const std::string& node) const {
  const auto found =
      std::find_if(plan_.entries.begin(), plan_.entries.end(),
                   [&](const EntryPlan& entry) { return entry.node == node; });
  return static_cast<size_t>(found - plan_.entries.begin());
}

size_t Fleet::BackendIndex(const std::string& node) const {
  const auto found = std::find_if(
      plan_.backends.begin(), plan_.backends.end(),
      [&](const BackendPlan& backend) { return backend.node == node; });
  return static_cast<size_t>(found - plan_.backends.begin());
}

}  // namespace carawayrelay::tools

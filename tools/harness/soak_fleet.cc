#include "harness/soak_fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include "harness/fleet_settings.h"
#include "harness/free_ports.h"
#include "platform/desired_state.h"
#include "request/overloaded.h"

namespace carawayrelay::tools {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStartTimeout{10000};
constexpr milliseconds kRestartDelay{300};
// Time from the start of a replacement until the registration of the crashed
// backend server is removed from the store.
constexpr milliseconds kStaleRegistrationTime{1500};
constexpr milliseconds kTableSetDelay{20};
constexpr milliseconds kMaxRevocationDelay{5000};
constexpr milliseconds kStopGrace{8000};
constexpr milliseconds kControlTimeout{3000};

std::string RoleOf(const std::string& name) {
  return name.substr(0, name.find('-'));
}

int IndexOf(const std::string& name) {
  return std::stoi(name.substr(name.find('-') + 1));
}

json Route(const char* name, const char* kind, bool can_resume) {
  return {{"name", name},
          {"host", soak_names::kHost},
          {"prefix", std::string("/") + name + "/"},
          {"routeType", kind},
          {"canResume", can_resume},
          {"timeoutMs", 5000},
          {"latencyGoalMs", 500},
          {"maxAttempts", 3},
          {"service", "soak"},
          {"runAimMs", 15000},
          {"keepS", 120}};
}

json Workspace(const std::string& name,
               const std::vector<std::string>& keys,
               double rate,
               double burst) {
  return {
      {"name", name}, {"apiKeys", keys}, {"ratePerS", rate}, {"burst", burst}};
}

}  // namespace

SoakFleet::SoakFleet(std::string program_directory,
                     const SoakPlan& plan,
                     std::uint16_t first_port,
                     ProcessGroup& processes,
                     CurlHttpClient& http,
                     StopSignal& stop)
    : program_directory_(std::move(program_directory)),
      plan_(plan),
      processes_(processes),
      http_(http),
      stop_(stop),
      next_port_(first_port) {}

std::string SoakFleet::BackendId(int index) const {
  return BackendName(index) + "-start-" +
         std::to_string(backends_[static_cast<size_t>(index)].start_count);
}

std::string SoakFleet::FrontendUrl(int index) const {
  return "http://" + LoopbackAddress(client_ports_[static_cast<size_t>(index)]);
}

Result<void> SoakFleet::StartProcess(
    const std::string& name,
    const std::vector<std::string>& arguments) {
  stopping_.erase(name);
  return processes_.Start(name, arguments);
}

Result<void> SoakFleet::StartRelay(const std::string& name) {
  const std::string path = processes_.directory() + "/" + name + ".json";
  std::ofstream(path) << settings_.at(name).dump(2) << '\n';
  return StartProcess(name, {program_directory_ + "/carawayrelay", RoleOf(name),
                             "--settings", path});
}

Result<void> SoakFleet::StartBackend(int index) {
  Backend& backend = backends_[static_cast<size_t>(index)];
  ++backend.start_count;
  const std::string id = BackendId(index);
  registrations_[id] = {{"service", "soak"},
                        {"address", LoopbackAddress(backend.proxy_port)},
                        {"zone", ZoneName(index)},
                        {"version", "v1"},
                        {"capacity", plan_.slots},
                        {"state", "ready"},
                        {"coldLeftMs", 0},
                        {"sequence", 1}};
  return StartProcess(
      BackendName(index),
      {program_directory_ + "/carawayrelay-standins", "runner",
       "--listen=" + LoopbackAddress(backend.port), "--name=" + id,
       "--runner_id=" + id, "--slots=" + std::to_string(plan_.slots)});
}

Result<void> SoakFleet::Start() {
  store_port_ = next_port_++;
  BOOST_OUTCOME_TRY(StartProcess(
      "platform",
      {program_directory_ + "/carawayrelay-standins", "platform",
       "--listen=" + LoopbackAddress(store_port_), "--writes_per_second=5000",
       "--reads_per_second=20000",
       "--entries_lag_ms=" + std::to_string(kTableSetDelay.count())}));
  const auto link = [&](const std::string& name,
                        std::uint16_t target) -> Result<std::uint16_t> {
    const std::uint16_t port = next_port_++;
    BOOST_OUTCOME_TRY(proxy_.AddLink(name, port, target));
    return port;
  };
  for (int i = 0; i < plan_.backends; ++i) {
    Backend backend{.port = next_port_++};
    BOOST_OUTCOME_TRY(backend.proxy_port, link(BackendLink(i), backend.port));
    backends_.push_back(backend);
    const std::string worker = WorkerName(i);
    BOOST_OUTCOME_TRY(const std::uint16_t store,
                      link(StoreLink(worker), store_port_));
    settings_[worker] = {
        {"node", worker},
        {"zone", ZoneName(i)},
        {"runner_address", LoopbackAddress(backend.proxy_port)},
        {"store_address", LoopbackAddress(store)},
        {"stop_grace_ms", kStopGrace.count()}};
  }
  for (int i = 0; i < plan_.frontends; ++i) {
    const std::string name = FrontendName(i);
    client_ports_.push_back(next_port_++);
    ready_ports_.push_back(next_port_++);
    const std::uint16_t peers_port = next_port_++;
    BOOST_OUTCOME_TRY(const std::uint16_t store,
                      link(StoreLink(name), store_port_));
    settings_[name] = {
        {"node", name},
        {"zone", ZoneName(i)},
        {"listen_clients", LoopbackAddress(client_ports_.back())},
        {"listen_ready", LoopbackAddress(ready_ports_.back())},
        {"listen_peers", LoopbackAddress(peers_port)},
        {"store_address", LoopbackAddress(store)},
        {"key_revocation_ms", kMaxRevocationDelay.count()},
        {"stop_grace_ms", kStopGrace.count()}};
  }
  if (!stop_.PollUntil([&] { return IsListening(store_port_); },
                       kStartTimeout)) {
    return Error{ErrorCode::kUnavailable,
                 "the store stand-in did not start to listen"};
  }
  for (int i = 0; i < plan_.backends; ++i) {
    BOOST_OUTCOME_TRY(StartBackend(i));
  }
  PublishOperatorTable();
  PublishRegistrations();
  for (const auto& [name, settings] : settings_) {
    BOOST_OUTCOME_TRY(StartRelay(name));
  }
  if (!stop_.PollUntil([&] { return IsReady(); }, kStartTimeout)) {
    return Error{ErrorCode::kUnavailable,
                 "not all frontends became ready after the start"};
  }
  return Success();
}

void SoakFleet::Control(std::uint16_t port, const std::string& fields) {
  CallSpec spec{.method = "POST",
                .url = "http://" + LoopbackAddress(port) + "/control",
                .body = fields,
                .timeout = kControlTimeout};
  http_.Run(std::move(spec));
}

void SoakFleet::PublishRegistrations() {
  Control(
      store_port_,
      json{{"tables", {{platform::kBackendsTable, registrations_}}}}.dump());
}

void SoakFleet::PublishOperatorTable() {
  json workspaces = json::array();
  workspaces.push_back(Workspace("open", {soak_names::kOpenKey}, 0, 0));
  workspaces.push_back(
      Workspace(soak_names::kLimitedWorkspace, {soak_names::kLimitedKey},
                soak_names::kLimitedRate, soak_names::kLimitedBurst));
  workspaces.push_back(Workspace(
      soak_names::kWithdrawnKeyWorkspace,
      is_key_withdrawn_ ? std::vector<std::string>{}
                        : std::vector<std::string>{soak_names::kWithdrawnKey},
      0, 0));
  const json config = {
      {"version", config_version_},
      {"routes", json::array({Route("stream", "streaming", true),
                              Route("order", "non_idempotent", false),
                              Route("lookup", "idempotent", false),
                              Route("bulk", "bulk", false)})},
      {"services", json::array({{{"name", "soak"}}})},
      {"tenants", workspaces}};
  json rows = {{platform::kConfigKey, config}};
  for (const std::string& zone : evacuated_zones_) {
    rows[platform::kEvacuatePrefix + zone] = "{}";
  }
  Control(store_port_,
          json{{"tables", {{platform::kOperatorTable, rows}}}}.dump());
}

void SoakFleet::RunAfter(milliseconds duration, std::function<void()> action) {
  delayed_actions_.push_back(
      {.at = BootClock::now() + duration, .action = std::move(action)});
}

void SoakFleet::RunDueActions(TimePoint now) {
  std::vector<DelayedAction> due;
  for (auto it = delayed_actions_.begin(); it != delayed_actions_.end();) {
    if (it->at <= now) {
      due.push_back(std::move(*it));
      it = delayed_actions_.erase(it);
    } else {
      ++it;
    }
  }
  for (const DelayedAction& delayed : due) {
    delayed.action();
  }
  // Schedules the restart of processes that a fault stopped.
  for (const std::string& name : std::set<std::string>(stopping_)) {
    if (!processes_.IsRunning(name)) {
      stopping_.erase(name);
      RunAfter(kRestartDelay, [this, name] { Restart(name); });
    }
  }
}

void SoakFleet::Restart(const std::string& name) {
  if (processes_.IsRunning(name)) {
    return;
  }
  if (RoleOf(name) != "runner") {
    (void)StartRelay(name);
    return;
  }
  const int index = IndexOf(name);
  const std::string before = BackendId(index);
  (void)StartBackend(index);
  PublishRegistrations();
  RunAfter(kStaleRegistrationTime, [this, before] {
    registrations_.erase(before);
    PublishRegistrations();
  });
}

void SoakFleet::Inject(const SoakFault& fault, TimePoint) {
  const auto stop_with = [this](const std::string& name, int signal) {
    if (processes_.Signal(name, signal)) {
      stopping_.insert(name);
    }
  };
  std::visit(Overloaded{
                 [&](const KillProcess& f) { stop_with(f.name, SIGKILL); },
                 [&](const StopProcess& f) { stop_with(f.name, SIGTERM); },
                 [&](const PauseProcess& f) {
                   if (processes_.Signal(f.name, SIGSTOP)) {
                     RunAfter(f.duration, [this, name = f.name] {
                       (void)processes_.Signal(name, SIGCONT);
                     });
                   }
                 },
                 [&](const KillAllFrontends&) {
                   for (int i = 0; i < plan_.frontends; ++i) {
                     stop_with(FrontendName(i), SIGKILL);
                   }
                 },
                 [&](const ReloadProcess& f) {
                   (void)processes_.Signal(f.name, SIGHUP);
                 },
                 [&](const SetLinkFault& f) {
                   proxy_.SetMode(f.name, f.mode);
                   RunAfter(f.duration, [this, name = f.name] {
                     proxy_.SetMode(name, PassBytes{});
                   });
                 },
                 [&](const SetStoreFault& f) {
                   Control(store_port_, f.fields);
                   RunAfter(f.duration, [this, reset = f.reset] {
                     Control(store_port_, reset);
                   });
                 },
                 [&](const SetBackendFault& f) {
                   Control(backends_[static_cast<size_t>(IndexOf(f.name))].port,
                           f.fields);
                 },
                 [&](const WithdrawKey&) {
                   is_key_withdrawn_ = true;
                   ++config_version_;
                   PublishOperatorTable();
                   key_withdrawn_at_ = BootClock::now() + kTableSetDelay;
                 },
                 [&](const ChangeConfig&) {
                   ++config_version_;
                   PublishOperatorTable();
                 },
                 [&](const EvacuateZone& f) {
                   evacuated_zones_.insert(f.zone);
                   PublishOperatorTable();
                   RunAfter(f.duration, [this, zone = f.zone] {
                     evacuated_zones_.erase(zone);
                     PublishOperatorTable();
                   });
                 },
             },
             fault);
}

void SoakFleet::EndFaults() {
  const bool all_ended = stop_.PollUntil(
      [&] {
        RunDueActions(BootClock::now());
        return delayed_actions_.empty() && stopping_.empty();
      },
      kStopGrace + kStartTimeout);
  (void)all_ended;  // the caller checks IsReady()
}

bool SoakFleet::IsReady() {
  return std::all_of(
      ready_ports_.begin(), ready_ports_.end(), [&](std::uint16_t port) {
        CallSpec spec{.url = "http://" + LoopbackAddress(port) + "/readyz",
                      .timeout = milliseconds(500)};
        return http_.Run(std::move(spec)).http_status == 200;
      });
}

std::vector<std::string> SoakFleet::CrashedProcesses() {
  std::vector<std::string> names;
  for (const auto& [name, settings] : settings_) {
    const bool is_restarting =
        stopping_.contains(name) || !delayed_actions_.empty();
    if (!processes_.IsRunning(name) && !is_restarting) {
      names.push_back(name);
    }
  }
  return names;
}

std::uint64_t SoakFleet::PeakResidentBytes() {
  std::uint64_t peak = 0;
  for (const auto& [name, settings] : settings_) {
    peak = std::max(peak, processes_.PeakResidentBytes(name));
  }
  return peak;
}

void SoakFleet::Stop(std::vector<std::string>& problems) {
  for (const auto& [name, settings] : settings_) {
    (void)processes_.Signal(name, SIGTERM);
  }
  for (const auto& [name, settings] : settings_) {
    const Result<int> status =
        processes_.WaitForExit(name, kStopGrace + milliseconds(1000));
    if (!status) {
      problems.push_back(
          name + " did not stop after SIGTERM: " + status.error().message);
    } else if (status.value() != 0) {
      problems.push_back(name + " exited with status " +
                         std::to_string(status.value()));
    }
  }
}

}  // namespace carawayrelay::tools
